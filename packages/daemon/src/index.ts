/** Public API of the daemon package: components that other packages start or call. */
export {EventLog} from './host/event_log.js';
export {GatewayHost} from './gateway/gateway_host.js';
export {runGateway} from './gateway/run_gateway.js';
export type {GatewayDialect} from './gateway/gateway_dialect.js';
export type {SiteSource} from './gateway/site_source.js';
export type {SourceFault} from './gateway/source_fault.js';
export {SourceFaultKind} from './gateway/source_fault_kind.js';
export type {ReservationCalls} from './gateway/reservation_calls.js';
export {StatusCalls} from './gateway/status_calls.js';
export {ReservationOutcome} from './gateway/reservation_outcome.js';
