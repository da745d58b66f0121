import {AttemptOutcome, type RouteMatch} from '@parsleywood/forwarding';
import {CrashStatus, type SuspectState} from '@parsleywood/requests';
import type {Failure} from '@parsleywood/errors';
import {createCrashFailure} from '../../callers/create_crash_failure.js';
import type {ObservedCrash} from '../../upstreams/observed_crash.js';
import {shortenHash} from '../../upstreams/shorten_hash.js';
import type {SuspectSubject} from '../../upstreams/suspect_subject.js';
import type {AttemptPlacer} from './attempt_placer.js';
import {describeSubject} from './describe_subject.js';
import type {GatewayContext} from '../gateway_context.js';
import type {ReceivedRequest} from '../callers/received_request.js';
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
  /** Name of the quarantine of the current attempt; empty if it is in none. */
  private quarantine = '';
  /** Monotonic time at which the current attempt started. */
  private startedAtMs = 0;
  private readonly subject: SuspectSubject;

  constructor(
    private readonly context: GatewayContext,
    match: RouteMatch,
    private readonly request: ReceivedRequest,
    private readonly placer: AttemptPlacer,
    private readonly log: SessionLog,
  ) {
    this.subject = describeSubject(match, request, context.headerNames);
    this.stateBefore = this.findState();
  }

  /**
   * Returns the failure of a request that is held to crash upstreams, at any host;
   * undefined if it may run.
   */
  findFailure(): Failure | undefined {
    const block = this.context.suspects.findBlock(this.subject);
    if (block === undefined) return undefined;
    this.log.logBlock(block);
    return createCrashFailure(block, this.subject.parts);
  }

  /** Whether the request may not run now. */
  get isBlocked(): boolean {
    return this.context.suspects.findBlock(this.subject) !== undefined;
  }

  /** Whether another host may try the request, or one with the same parts. */
  get isKnownToPeers(): boolean {
    return this.quarantine !== '' || this.stateBefore.isKnownToPeers;
  }

  /** Whether requests of the same quarantine are running at any host. */
  get isQuarantineBusy(): boolean {
    const {placements} = this.context;
    return this.quarantine !== '' && placements.isRunning(this.quarantine);
  }

  /**
   * Starts an attempt.
   *
   * @return Name by which the other hosts recognise a suspect; empty if the
   *     request is none.
   */
  startAttempt(): string {
    this.stateBefore = this.findState();
    this.startedAtMs = this.context.clock.nowMs();
    this.quarantine = this.context.suspects.findQuarantine(this.subject);
    if (this.quarantine !== '') return this.quarantine;
    return this.stateBefore.status === CrashStatus.CLEAR
      ? ''
      : this.context.suspects.computeFingerprint(this.subject);
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
    // A crash is recorded with the body, also when the caller has left meanwhile.
    const {lease} = this.request;
    lease?.retain();
    try {
      const unreachable = await placer.findUnreachable();
      if (unreachable.length === 0) return;
      const crash: ObservedCrash = {
        upstreams: unreachable.map(({id}) => id),
        stateBefore,
        wasIsolated,
        hadLease: false,
        wasAlone: placer.isAlone,
        startedAtMs: this.startedAtMs,
      };
      if (await context.reach.testReach()) this.recordCrash(crash);
      else void this.recordUnlessCutOff(crash);
    } finally {
      lease?.release();
    }
  }

  /** Records a crash, unless only this host cannot reach the upstreams. */
  private async recordUnlessCutOff(crash: ObservedCrash): Promise<void> {
    const {lease} = this.request;
    lease?.retain();
    try {
      if (await this.context.reach.staysOutOfService()) return;
      this.recordCrash(crash);
    } finally {
      lease?.release();
    }
  }

  private recordCrash(crash: ObservedCrash): void {
    const {context} = this;
    const status = context.suspects.recordCrash(this.subject, crash);
    this.log.logCrash({
      upstreams: crash.upstreams.join(' '),
      crashes: crash.stateBefore.crashes + 1,
      isIsolated: crash.wasIsolated,
      isAlone: crash.wasAlone,
      isCondemned: status === CrashStatus.BLOCKED,
      fingerprint: shortenHash(
        context.suspects.computeFingerprint(this.subject),
      ),
      scopes: this.subject.scopes.map(shortenHash).join(' '),
    });
  }

  /** Records a complete response with an HTTP status. */
  recordAnswer(status: number): void {
    const {suspects} = this.context;
    suspects.recordAnswer(this.subject, status, this.startedAtMs);
  }

  private findState(): SuspectState {
    return this.context.suspects.findState(this.subject);
  }
}
