import type {Failure} from '@parsleywood/errors';
import {AttemptOutcome, type RouteMatch} from '@parsleywood/forwarding';
import {TimelineEventName, type TimelineFields} from '@parsleywood/timeline';
import type {CrashBlock} from '@parsleywood/requests';
import type {CrashFields} from './crash_fields.js';
import type {GatewayContext} from '../gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import type {ReceivedRequest} from '../callers/received_request.js';
import {RequestProgress} from '../callers/request_progress.js';
import {SessionOutcome} from './session_outcome.js';
import {shortenHash} from '../../upstreams/shorten_hash.js';

const SERVER_ERROR_STATUS = 500;
const MS_PER_SECOND = 1_000;

/** Writes the log lines, metrics and timeline events of one request. */
export class SessionLog {
  private firstMs: number | undefined;
  private lastEventMs: number | undefined;
  private longestPauseMs = 0;

  constructor(
    private readonly context: GatewayContext,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    private readonly service: string,
  ) {
    this.record(TimelineEventName.REQUEST_RECEIVED, {
      service,
      promptTokens: request.metadata.promptTokens,
    });
  }

  recordHead(): void {
    this.record(TimelineEventName.ATTEMPT_FIRST_TOKEN);
    this.firstMs ??= this.sinceReceived();
    this.context.metrics.firstByteSeconds.observe(
      {service: this.service},
      this.sinceReceived() / MS_PER_SECOND,
    );
  }

  recordEvents(): void {
    const nowMs = this.context.clock.nowMs();
    if (this.lastEventMs !== undefined) {
      const pauseMs = nowMs - this.lastEventMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    }
    this.lastEventMs = nowMs;
  }

  logAttemptSent(attempt: number, placed: PlacedAttempt, leftMs: number): void {
    const {context, request} = this;
    const {upstream, helpers, plan} = placed.choice;
    this.record(TimelineEventName.ATTEMPT_STARTED, {
      attempt,
      upstream: upstream.id,
      engines: helpers.length + 1,
      limitMs: Math.round(leftMs),
    });
    context.log.info('attempt_sent', {
      requestId: request.metadata.id,
      attempt,
      upstream: upstream.id,
      helpers: helpers.map(({id}) => id).join(' ') || undefined,
      expectedMs: plan && Math.round(plan.expectedMs),
      promptTokens: request.metadata.promptTokens,
      leftMs: Math.round(leftMs),
      knownPlacements: context.placements.size,
      ...context.replica.position,
    });
  }

  /** Logs an exception that ended the request. */
  logFault(error: unknown): void {
    this.context.log.error('request_fault', {
      requestId: this.request.metadata.id,
      reason: error instanceof Error ? error.stack : String(error),
    });
  }

  logAttemptEnd(
    outcome: AttemptOutcome,
    status: number,
    detail: string,
    placed: PlacedAttempt | undefined,
  ): void {
    const {context, request, service} = this;
    context.metrics.attempts.inc({service, end: outcome});
    const upstream = placed?.choice.upstream.id;
    if (outcome === AttemptOutcome.ANSWERED && status < SERVER_ERROR_STATUS) {
      return;
    }
    this.record(TimelineEventName.ATTEMPT_FAILED, {
      ...(upstream !== undefined && {upstream}),
      state: outcome,
      status,
    });
    const startedAtMs = placed?.placedAtMs ?? request.receivedAtMs;
    context.log.warn('attempt_failed', {
      requestId: request.metadata.id,
      upstream,
      end: outcome,
      status,
      detail,
      ...context.replica.position,
      tookMs: Math.round(context.clock.nowMs() - startedAtMs),
    });
  }

  /** Logs that upstreams crashed while executing the request. */
  logCrash(crash: CrashFields): void {
    const {id, promptParts} = this.request.metadata;
    this.context.log.warn('upstream_crashed', {
      requestId: id,
      promptParts: promptParts.join(' ') || undefined,
      ...crash,
    });
  }

  /** Logs for which crashes the request is refused, and until when. */
  logBlock({
    fingerprint,
    traits,
    crashes,
    isFinal,
    remainingMs,
  }: CrashBlock): void {
    const {id, promptParts} = this.request.metadata;
    this.context.log.info('request_blocked', {
      requestId: id,
      fingerprint: shortenHash(fingerprint),
      traits: traits.map(shortenHash).join(' ') || undefined,
      promptParts:
        promptParts.filter(part => traits.includes(part)).join(' ') ||
        undefined,
      crashes,
      isFinal,
      remainingMs: Math.ceil(remainingMs),
    });
  }

  logEnd(
    outcome: SessionOutcome | Failure,
    status: number | undefined,
    attempts: number,
    events: number,
  ): void {
    const {context, match, request, service} = this;
    const failure = typeof outcome === 'string' ? undefined : outcome;
    const name = failure?.kind ?? String(outcome);
    context.metrics.requests.inc({service, outcome: name});
    if (outcome === SessionOutcome.CALLER_GONE) {
      const progress = this.describeProgress(attempts);
      context.metrics.callersGone.inc({service, progress});
    }
    this.recordEnd(outcome);
    context.log.info('request_over', {
      requestId: request.metadata.id,
      route: match.route.name,
      service,
      account: match.account?.name,
      version: match.rules.configuration.version,
      outcome: name,
      status,
      ran: failure?.ran,
      retryAfterMs: failure?.retryAfterMs,
      reason: failure?.message,
      attempts,
      events,
      promptTokens: request.metadata.promptTokens,
      firstMs: this.firstMs,
      longestPauseMs: Math.round(this.longestPauseMs),
      tookMs: this.sinceReceived(),
    });
  }

  private describeProgress(attempts: number): RequestProgress {
    if (attempts === 0) return RequestProgress.UNSENT;
    return this.firstMs === undefined
      ? RequestProgress.SENT
      : RequestProgress.ANSWERED;
  }

  private recordEnd(outcome: SessionOutcome | Failure): void {
    const durationMs = this.sinceReceived();
    if (typeof outcome === 'string') {
      const name =
        outcome === SessionOutcome.CALLER_GONE
          ? TimelineEventName.REQUEST_CANCELLED
          : TimelineEventName.REQUEST_ANSWERED;
      this.record(name, {durationMs});
      return;
    }
    const {kind, ran, retryAfterMs} = outcome;
    this.record(TimelineEventName.REQUEST_FAILED, {
      errorKind: kind,
      ran,
      durationMs,
      ...(retryAfterMs !== undefined && {
        retryAfterMs: Math.round(retryAfterMs),
      }),
    });
  }

  private record(name: TimelineEventName, fields?: TimelineFields): void {
    this.context.timeline.record(name, this.request.metadata.id, fields);
  }

  private sinceReceived(): number {
    return Math.round(this.context.clock.nowMs() - this.request.receivedAtMs);
  }
}
