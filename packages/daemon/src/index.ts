/** Public API of the daemon package: components that other packages start or call. */
export {EventLog} from './host/event_log.js';
export {GatewayHost} from './gateway/gateway_host.js';
export {runGateway} from './gateway/run_gateway.js';
export type {GatewayDialect} from './gateway/gateway_dialect.js';
export type {SiteSource} from './gateway/site/site_source.js';
export type {SiteSourceError} from './gateway/site/site_source_error.js';
export {SiteSourceErrorKind} from './gateway/site/site_source_error_kind.js';
export type {LeavingListener} from './gateway/upstreams/leaving_listener.js';
export type {LoadReports} from './gateway/upstreams/load_reports.js';
export type {EngineReservations} from './gateway/upstreams/engine_reservations.js';
export {createPacedConnector} from './host/create_paced_connector.js';
export {StatusClient} from './gateway/callers/status_client.js';
export {ReservationOutcome} from './gateway/upstreams/reservation_outcome.js';
