import type {
  PlacementBook,
  UpstreamChooser,
  UpstreamHealth,
} from '@parsleywood/dispatch';
import type {SiteLedger} from '@parsleywood/forwarding';
import type {Clock} from '../host/clock.js';
import type {EventLog} from '../host/event_log.js';
import type {HostTimeline} from '../host/host_timeline.js';
import type {SuspectDesk} from '../upstreams/suspect_desk.js';
import type {FleetNews} from './update_publisher.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {HeaderNames} from './header_names.js';
import type {ReservationCalls} from './reservation_calls.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {UpstreamConnections} from './upstream_connection_pool.js';

/** What the requests of one host share. */
export interface GatewayParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timeline: HostTimeline;
  readonly metrics: GatewayMetrics;
  readonly names: HeaderNames;
  readonly ledger: SiteLedger;
  readonly book: PlacementBook;
  readonly health: UpstreamHealth;
  readonly chooser: UpstreamChooser;
  readonly budgets: RetryBudgets;
  readonly connections: UpstreamConnections;
  readonly fleet: FleetNews;
  readonly reservations: ReservationCalls;
  readonly suspects: SuspectDesk;
  /** Draws a number between 0 and 1. */
  readonly draw: () => number;
}
