import type {Failure} from '@parsleywood/errors';
import {AttemptEnd, type RouteMatch} from '@parsleywood/forwarding';
import {TimelineEventName, type TimelineFields} from '@parsleywood/timeline';
import type {GatewayParts} from './gateway_context.js';
import type {PlacedAttempt} from './placed_attempt.js';
import type {ReceivedRequest} from './received_request.js';
import {SessionOutcome} from './session_outcome.js';

const SERVER_ERROR_STATUS = 500;
const MS_PER_SECOND = 1_000;

/** Logs and counts what is decided on one request. */
export class SessionLog {
  private firstMs: number | undefined;
  private lastEventMs: number | undefined;
  private longestPauseMs = 0;

  constructor(
    private readonly parts: GatewayParts,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    private readonly service: string,
  ) {
    this.record(TimelineEventName.REQUEST_RECEIVED, {
      service,
      promptTokens: request.facts.promptTokens,
    });
  }

  noteHead(): void {
    this.record(TimelineEventName.ATTEMPT_FIRST_TOKEN);
    this.firstMs ??= this.sinceReceived();
    this.parts.metrics.firstByteSeconds.observe(
      {service: this.service},
      this.sinceReceived() / MS_PER_SECOND,
    );
  }

  noteEvents(): void {
    const nowMs = this.parts.clock.nowMs();
    if (this.lastEventMs !== undefined) {
      const pauseMs = nowMs - this.lastEventMs;
      this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    }
    this.lastEventMs = nowMs;
  }

  attemptSent(attempt: number, placed: PlacedAttempt, leftMs: number): void {
    const {parts, request} = this;
    const {upstream, helpers, plan} = placed.choice;
    this.record(TimelineEventName.ATTEMPT_STARTED, {
      attempt,
      upstream: upstream.id,
      engines: helpers.length + 1,
      limitMs: Math.round(leftMs),
    });
    parts.log.info('attempt_sent', {
      requestId: request.facts.id,
      attempt,
      upstream: upstream.id,
      helpers: helpers.map(({id}) => id).join(' ') || undefined,
      expectedMs: plan && Math.round(plan.expectedMs),
      promptTokens: request.facts.promptTokens,
      leftMs: Math.round(leftMs),
      knownPlacements: parts.book.size,
      revision: parts.ledger.revision,
    });
  }

  attemptOver(
    end: AttemptEnd,
    status: number,
    detail: string,
    placed: PlacedAttempt | undefined,
  ): void {
    const {parts, request, service} = this;
    parts.metrics.attempts.inc({service, end});
    const upstream = placed?.choice.upstream.id;
    if (end === AttemptEnd.ANSWERED && status < SERVER_ERROR_STATUS) return;
    this.record(TimelineEventName.ATTEMPT_FAILED, {
      ...(upstream !== undefined && {upstream}),
      state: end,
      status,
    });
    const sentAtMs = placed?.sentAtMs ?? request.receivedAtMs;
    parts.log.warn('attempt_failed', {
      requestId: request.facts.id,
      upstream,
      end,
      status,
      detail,
      revision: parts.ledger.revision,
      tookMs: Math.round(parts.clock.nowMs() - sentAtMs),
    });
  }

  /** An upstream crashed under the request. */
  crashed(upstreams: string, isCondemned: boolean): void {
    const requestId = this.request.facts.id;
    this.parts.log.warn('upstream_crashed', {
      requestId,
      upstreams,
      isCondemned,
    });
  }

  over(
    outcome: SessionOutcome | Failure,
    status: number | undefined,
    attempts: number,
    events: number,
  ): void {
    const {parts, match, request, service} = this;
    const failure = typeof outcome === 'string' ? undefined : outcome;
    const name = failure?.kind ?? String(outcome);
    parts.metrics.requests.inc({service, outcome: name});
    this.recordEnd(outcome);
    parts.log.info('request_over', {
      requestId: request.facts.id,
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
      promptTokens: request.facts.promptTokens,
      firstMs: this.firstMs,
      longestPauseMs: Math.round(this.longestPauseMs),
      tookMs: this.sinceReceived(),
    });
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
    this.parts.timeline.record(name, this.request.facts.id, fields);
  }

  private sinceReceived(): number {
    return Math.round(this.parts.clock.nowMs() - this.request.receivedAtMs);
  }
}
