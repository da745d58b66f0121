import {AttemptOutcome, type RouteMatch} from '@parsleywood/forwarding';
import {CrashStatus, type SuspectState} from '@parsleywood/requests';
import type {SuspectSubject} from '../upstreams/suspect_subject.js';
import type {AttemptPlacer} from './attempt_placer.js';
import type {GatewayContext} from './gateway_context.js';
import type {ReceivedRequest} from './received_request.js';
import type {SessionLog} from './session_log.js';

/**
 * Time within which an engine refuses a prompt because a helper was down before
 * it was sent. An engine whose helper crashes later stalls first.
 */
const MIN_HELPER_MS = 100;

/** Detects whether a request crashes the upstreams that execute it. */
export class CrashDetector {
  /** What was known of the request when the current attempt started. */
  private stateBefore: SuspectState;

  constructor(
    private readonly context: GatewayContext,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    private readonly placer: AttemptPlacer,
    private readonly log: SessionLog,
  ) {
    this.stateBefore = this.findState();
  }

  /** Whether the request is known to crash upstreams, at any host. */
  shouldRefuse(): boolean {
    return this.findState().status === CrashStatus.BLOCKED;
  }

  /** Whether another host has told of the request, so that it may run there. */
  get isKnownToPeers(): boolean {
    return this.stateBefore.isKnownToPeers;
  }

  /**
   * Starts an attempt.
   *
   * @return Fingerprint by which the other hosts recognise a suspect; empty if
   *     the request is none.
   */
  startAttempt(): string {
    this.stateBefore = this.findState();
    return this.stateBefore.status === CrashStatus.CLEAR
      ? ''
      : this.context.suspects.computeFingerprint(this.describeSubject());
  }

  /**
   * Whether an attempt that ended so may have crashed one of its upstreams.
   *
   * @param faultyAddress Upstream that the response names as the cause: a helper
   *     whose crash leaves the answering engine running.
   */
  mayHaveCrashed(outcome: AttemptOutcome, faultyAddress: string): boolean {
    if (outcome === AttemptOutcome.BROKEN) return true;
    const {placedAtMs = Infinity} = this.placer.currentAttempt ?? {};
    const lastedMs = this.context.clock.nowMs() - placedAtMs;
    return faultyAddress !== '' && lastedMs >= MIN_HELPER_MS;
  }

  /**
   * Treats an upstream of the current attempt that accepts no connections as
   * crashed.
   */
  async checkCrash(outcome: AttemptOutcome): Promise<void> {
    const {stateBefore, placer, context} = this;
    const isSuspect = stateBefore.status === CrashStatus.SUSPECT;
    // A request that crashes what runs it does so before its answer begins, and
    // a helper may have been down already.
    const wasIsolated =
      isSuspect &&
      placer.isIsolated &&
      !placer.hasReceivedEvents &&
      outcome === AttemptOutcome.BROKEN;
    const unreachable = await placer.findUnreachable();
    if (unreachable.length === 0) return;
    const status = context.suspects.recordCrash(
      this.describeSubject(),
      stateBefore,
      wasIsolated,
    );
    this.log.logCrash(
      unreachable.map(({id}) => id).join(' '),
      stateBefore.crashes + 1,
      wasIsolated,
      status === CrashStatus.BLOCKED,
    );
  }

  /** Clears the suspicion after a complete response. */
  recordSuccess(): void {
    this.context.suspects.recordSuccess(this.describeSubject());
  }

  private findState(): SuspectState {
    return this.context.suspects.findState(this.describeSubject());
  }

  private describeSubject(): SuspectSubject {
    const {method, target} = this.request.metadata;
    // An account has several keys, which are replaced from time to time.
    const account = this.match.account?.name ?? '';
    return {
      name: `${method} ${target} ${account}`,
      body: this.request.body,
    };
  }
}
