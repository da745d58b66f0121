import {RetryBudget} from '@parsleywood/admission';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {describeScopes} from '@parsleywood/requests';
import type {Settings} from '@parsleywood/schema/settings';
import type {ListedUpstream} from '@parsleywood/schema/upstream_list';
import type {Incarnation} from '@parsleywood/types';
import {Result} from 'true-myth';
import type {AdmissionDesk} from '../control/admission_desk.js';
import type {Clock} from './clock.js';
import {EngineClient} from '../upstreams/engine_client.js';
import type {EnginePicker} from '../upstreams/engine_picker.js';
import type {EngineTraffic} from '../upstreams/engine_traffic.js';
import type {EventLog} from './event_log.js';
import type {HostMetrics} from './host_metrics.js';
import type {HostTimeline} from './host_timeline.js';
import type {LoadFeed} from '../upstreams/load_feed.js';
import type {ReplyHead} from '../callers/reply_head.js';
import type {ServiceAnswer} from '../upstreams/service_answer.js';
import type {SuspectSubject} from '../upstreams/suspect_subject.js';
import {createCrashFailure} from '../callers/create_crash_failure.js';
import type {ServiceCall} from '../callers/service_call.js';
import {ServiceClient} from '../upstreams/service_client.js';
import type {SiteView} from './site_view.js';
import type {SuspectTracker} from '../upstreams/suspect_tracker.js';
import type {UpstreamControl} from '../upstreams/upstream_control.js';
import type {UpstreamPools} from '../upstreams/upstream_pools.js';

const RETRY_AFTER_MS = 500;
const RETRIES_PER_SUCCESS = 0.1;
/** Allows for a retry of every stream of an engine that crashes. */
const MAX_RETRIES_SAVED = 256;

/** Components and counters shared by all request handlers of one process. */
export class Serving {
  readonly host: string;
  /** Host and incarnation, sent to upstreams to identify the caller. */
  readonly owner: string;
  /** Prefix of the request ids that this process assigns. */
  readonly requestPrefix: string;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly retries = new RetryBudget(RETRIES_PER_SUCCESS, MAX_RETRIES_SAVED);
  private inFlight = 0;
  private control: UpstreamControl | undefined;
  private loads: LoadFeed | undefined;
  private nextServiceIndex = 0;
  private readonly openCallsByUpstream = new Map<string, number>();

  constructor(
    readonly incarnation: Incarnation,
    readonly clock: Clock,
    readonly site: SiteView,
    readonly pools: UpstreamPools,
    readonly traffic: EngineTraffic,
    readonly picker: EnginePicker,
    readonly suspects: SuspectTracker,
    readonly admission: AdmissionDesk,
    readonly metrics: HostMetrics,
    readonly timeline: HostTimeline,
    readonly log: EventLog,
  ) {
    this.host = incarnation.host;
    this.owner = `${incarnation.host}/${incarnation.id}`;
    this.requestPrefix = `${incarnation.host}-${incarnation.id.slice(-6)}`;
    this.engines = new EngineClient(pools);
    this.services = new ServiceClient(pools);
  }

  /**
   * Sets the components that decide which upstreams receive work. They are built
   * after this object and must be set before requests are served.
   */
  useUpstreams(control: UpstreamControl, loads: LoadFeed): void {
    this.control = control;
    this.loads = loads;
    this.traffic.useLiveness(upstream => control.isUsable(upstream));
  }

  get upstreams(): UpstreamControl {
    if (this.control !== undefined) return this.control;
    throw new Failure(
      ErrorKind.INTERNAL,
      'upstream control is used before useUpstreams() was called',
    );
  }

  /** Updates routing and load polling after the usable upstreams changed. */
  refreshUpstreams(): void {
    this.traffic.applyUpstreams();
    this.loads?.pollNew();
  }

  /** Whether an engine process is down or has restarted recently. */
  async hasCrashed(engine: string): Promise<boolean> {
    if (await this.upstreams.isDown(engine)) return true;
    return (await this.loads?.hasRestarted(engine)) ?? false;
  }

  /**
   * Current settings.
   *
   * @throws Failure (HOST_UNAVAILABLE) until the first settings are received.
   */
  requireSettings(): Settings {
    const settings = this.site.settings();
    if (settings !== undefined) return settings;
    throw new Failure(
      ErrorKind.HOST_UNAVAILABLE,
      'this host has no settings yet',
      undefined,
      RETRY_AFTER_MS,
    );
  }

  /** Chooses a usable upstream of the service, round-robin; undefined if there is none. */
  chooseService(
    service: string,
    excluded: readonly string[],
  ): ListedUpstream | undefined {
    const usable = this.site
      .serving('service', service)
      .filter(({name}) => this.upstreams.isUsable(name))
      .filter(({name}) => !excluded.includes(name));
    return usable[this.nextServiceIndex++ % Math.max(usable.length, 1)];
  }

  /**
   * Sends one call to a service upstream, without retry, and records its success
   * or failure. A call that is known to crash services is refused.
   */
  async sendToService(
    call: ServiceCall,
    upstream: ListedUpstream,
    limitMs: number,
    fencing?: number,
  ): Promise<Result<ServiceAnswer, Failure>> {
    const {name, address} = upstream;
    const subject = describeSubject(call);
    const block = this.suspects.findBlock(subject);
    if (block !== undefined) return Result.err(createCrashFailure(block));
    const stateBefore = this.suspects.findState(subject);
    this.countCall(name, 1);
    const startedAtMs = this.clock.nowMs();
    const result = await this.services.send(call, address, limitMs, fencing);
    // Calls of other hosts are not known here.
    const wasAlone = this.openCalls(name) === 1;
    this.countCall(name, -1);
    if (result.isOk) {
      this.upstreams.noteSuccess(name);
      const {status} = result.value;
      this.suspects.recordAnswer(subject, status, startedAtMs);
      return result;
    }
    this.upstreams.noteFailure(name);
    const mayHaveRun = result.error.ran !== ExecutionStatus.NO;
    if (mayHaveRun && (await this.upstreams.isDown(name))) {
      this.suspects.recordCrash(subject, {
        upstreams: [name],
        stateBefore,
        wasIsolated: false,
        hadLease: false,
        wasAlone,
        startedAtMs,
      });
    }
    return result;
  }

  refuseUnavailable(service: string): Result<never, Failure> {
    return Result.err(
      new Failure(
        ErrorKind.UPSTREAM_UNAVAILABLE,
        `no upstream of service "${service}" can take the call`,
        undefined,
        RETRY_AFTER_MS,
      ),
    );
  }

  replyHead(requestId: string): ReplyHead {
    return {
      'parsleywood-request-id': requestId,
      'parsleywood-host': this.host,
    };
  }

  /** Number of calls in flight to an upstream. */
  openCalls(upstream: string): number {
    return this.openCallsByUpstream.get(upstream) ?? 0;
  }

  /** @param change 1 when a call is sent, -1 when it ends. */
  countCall(upstream: string, change: 1 | -1): void {
    this.openCallsByUpstream.set(upstream, this.openCalls(upstream) + change);
  }

  /** Number of requests that have no final response yet. */
  inFlightRequests(): number {
    return this.inFlight;
  }

  begin(): void {
    this.inFlight++;
    this.metrics.inFlight.set(this.inFlight);
  }

  conclude(call: string, outcome: string, requestId: string): void {
    this.inFlight--;
    this.metrics.inFlight.set(this.inFlight);
    this.metrics.requests.inc({call, outcome});
    if (outcome === 'ok') {
      this.log.debug('request_answered', {requestId, call});
    } else {
      this.log.info('request_failed', {requestId, call, kind: outcome});
    }
  }
}

function describeSubject(call: ServiceCall): SuspectSubject {
  const {account, service, method, target, contentType, body} = call;
  const name = `${account} ${service} ${method} ${target} ${contentType}`;
  const scopes = describeScopes({
    method,
    target: `${service} ${target}`,
    account,
    headers: contentType === '' ? [] : [`content-type: ${contentType}`],
    prompt: '',
    body,
  });
  return {name, body, scopes, parts: []};
}
