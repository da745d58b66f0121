import {setTimeout as pause} from 'node:timers/promises';
import type {CapacityShortage} from '@parsleywood/dispatch';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {handlePendingInput} from '../../host/handle_pending_input.js';
import type {AttemptPlacer} from './attempt_placer.js';
import type {CrashDetector} from './crash_detector.js';
import type {GatewayContext} from '../gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';

/**
 * Time in which a placement reaches all hosts, also through a relay. Hosts that
 * place the same suspect within it learn of each other before they send it.
 */
const SETTLE_MS = 80;
const POLL_INTERVAL_MS = 25;
/** Share of the time left for which a request waits for its turn. */
const MAX_WAIT_RATIO = 0.5;
const RETRY_AFTER_MS = 300;

/**
 * Places a suspect when no other host is trying the same request, so that a
 * request that all hosts have at once crashes one upstream at a time.
 */
export class SuspectTrial {
  /** @param isOver Whether the request has ended meanwhile. */
  constructor(
    private readonly context: GatewayContext,
    private readonly placer: AttemptPlacer,
    private readonly detector: CrashDetector,
    private readonly isOver: () => boolean,
  ) {}

  /**
   * Places an attempt; that of a suspect when its turn has come.
   *
   * @param attempt Number of attempts that have ended.
   * @return A failure if the request is blocked, or its turn does not come.
   */
  async place(
    attempt: number,
    leftMs: number,
  ): Promise<PlacedAttempt | CapacityShortage | Failure> {
    const {clock, placements} = this.context;
    const untilMs = clock.nowMs() + MAX_WAIT_RATIO * leftMs;
    do {
      // The caller may have left before this host came to its request.
      await handlePendingInput();
      if (this.isOver()) break;
      const failure = this.detector.findFailure();
      if (failure !== undefined) return failure;
      const suspect = this.detector.startAttempt();
      const isBusy =
        this.detector.isQuarantineBusy || placements.isBeingTried(suspect);
      if (!isBusy) {
        const placed = this.placer.place(attempt, suspect);
        if (!('placement' in placed)) return placed;
        if (await this.isFirst(placed, suspect)) return placed;
        this.placer.withdraw();
      }
      await pause(POLL_INTERVAL_MS);
    } while (clock.nowMs() < untilMs);
    return new Failure(
      ErrorKind.OVERLOADED,
      'another host is trying the same request, which may crash upstreams',
      ExecutionStatus.NO,
      RETRY_AFTER_MS,
    );
  }

  /** Whether no other host placed the same request at the same time. */
  private async isFirst(
    {placement}: PlacedAttempt,
    suspect: string,
  ): Promise<boolean> {
    if (suspect === '' || !this.detector.isKnownToPeers) return true;
    await pause(SETTLE_MS);
    await handlePendingInput();
    if (this.detector.isBlocked) return false;
    return !this.context.placements.hasTrialBefore(suspect, placement.id);
  }
}
