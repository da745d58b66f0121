import {ErrorKind, Failure} from '@parsleywood/errors';
import type {Settings} from '@parsleywood/schema/settings';
import type {ListedUpstream} from '@parsleywood/schema/upstream_list';
import type {Incarnation} from '@parsleywood/types';
import {Result} from 'true-myth';
import type {Clock} from './clock.js';
import {EngineClient} from './engine_client.js';
import type {EventLog} from './event_log.js';
import type {HostMetrics} from './host_metrics.js';
import type {ReplyHead} from './reply_head.js';
import {ServiceClient} from './service_client.js';
import type {SiteView} from './site_view.js';
import type {UpstreamPools} from './upstream_pools.js';

const RETRY_AFTER_MS = 500;
const DEFAULT_PRIORITY = 5;

/** What the handling of requests shares in one process. */
export class Serving {
  readonly host: string;
  /** Host and incarnation, as upstreams are told. */
  readonly owner: string;
  /** Start of each request id of this process. */
  readonly requestPrefix: string;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  private inFlight = 0;
  private turn = 0;

  constructor(
    readonly incarnation: Incarnation,
    readonly clock: Clock,
    readonly site: SiteView,
    readonly pools: UpstreamPools,
    readonly metrics: HostMetrics,
    readonly log: EventLog,
  ) {
    this.host = incarnation.host;
    this.owner = `${incarnation.host}/${incarnation.id}`;
    this.requestPrefix = `${incarnation.host}-${incarnation.id.slice(-6)}`;
    this.engines = new EngineClient(pools);
    this.services = new ServiceClient(pools);
  }

  /** Settings in force; throws a Failure while there are none. */
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

  chooseEngine(
    model: string,
    excluded: readonly string[],
  ): ListedUpstream | undefined {
    return this.choose(this.site.serving('engine', model), excluded);
  }

  chooseService(
    service: string,
    excluded: readonly string[],
  ): ListedUpstream | undefined {
    return this.choose(this.site.serving('service', service), excluded);
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

  mayRetry(): boolean {
    return true;
  }

  retryAfterMs(): number {
    return RETRY_AFTER_MS;
  }

  priorityOf(lengthClass: string): number {
    const classes = this.site.settings()?.lengthClasses ?? [];
    const found = classes.find(one => one.name === lengthClass);
    return found?.priority ?? DEFAULT_PRIORITY;
  }

  replyHead(requestId: string): ReplyHead {
    return {
      'parsleywood-request-id': requestId,
      'parsleywood-host': this.host,
    };
  }

  /** Number of requests without their final answer. */
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
    this.log.debug('request_concluded', {requestId, call, outcome});
  }

  private choose(
    upstreams: readonly ListedUpstream[],
    excluded: readonly string[],
  ): ListedUpstream | undefined {
    const usable = upstreams.filter(
      one => one.state === 'live' && !excluded.includes(one.name),
    );
    return usable[this.turn++ % Math.max(usable.length, 1)];
  }
}
