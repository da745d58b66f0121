import type {
  PlacementRegistry,
  StartView,
  UpstreamChooser,
  UpstreamHealth,
  UpstreamLimits,
  UpstreamRests,
} from '@parsleywood/dispatch';
import type {
  BufferBudget,
  HomeRegions,
  SiteReplica,
} from '@parsleywood/forwarding';
import type {Clock} from '../host/clock.js';
import type {EventLog} from '../host/event_log.js';
import type {HostTimeline} from '../host/host_timeline.js';
import type {SuspectTracker} from '../upstreams/suspect_tracker.js';
import type {UpdatePublisher} from './fleet/update_publisher.js';
import type {ColdRateMonitor} from './upstreams/cold_rate_monitor.js';
import type {DepartureCheck} from './upstreams/departure_check.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {HeaderNames} from './header_names.js';
import type {EngineReservations} from './upstreams/engine_reservations.js';
import type {ReachMonitor} from './upstreams/reach_monitor.js';
import type {RetryBudgets} from './attempts/retry_budgets.js';
import type {UpstreamPacing} from './upstreams/upstream_pacing.js';
import type {IgnoredHeaderLog} from './upstreams/ignored_header_log.js';
import type {UpstreamConnectionPool} from './upstreams/upstream_connection_pool.js';

/** Dependencies that all requests of one host share. */
export interface GatewayContext {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timeline: HostTimeline;
  readonly metrics: GatewayMetrics;
  readonly headerNames: HeaderNames;
  readonly replica: SiteReplica;
  readonly homeRegions: HomeRegions;
  readonly placements: PlacementRegistry;
  readonly health: UpstreamHealth;
  readonly limits: UpstreamLimits;
  readonly coldRates: ColdRateMonitor;
  readonly pacing: UpstreamPacing;
  readonly rests: UpstreamRests;
  readonly unreadableRests: IgnoredHeaderLog;
  readonly unreadableLimits: IgnoredHeaderLog;
  readonly chooser: UpstreamChooser;
  readonly startView: StartView;
  readonly retryBudgets: RetryBudgets;
  readonly connectionPool: UpstreamConnectionPool;
  readonly bufferBudget: BufferBudget;
  readonly publisher: UpdatePublisher;
  readonly reach: ReachMonitor;
  readonly departureCheck: DepartureCheck;
  readonly reservationClient: EngineReservations;
  readonly suspects: SuspectTracker;
  /**
   * Returns the Retry-After of a host without a configuration; absent for the usual.
   *
   * @param random Number in [0, 1); drawn if it is not given.
   */
  readonly planStartRetryMs: (random?: number) => number | undefined;
  /** Returns the number of live hosts, including this one. */
  readonly countHosts: () => number;
  /** Returns a uniform random number in [0, 1). */
  readonly draw: () => number;
}
