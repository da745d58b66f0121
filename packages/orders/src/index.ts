/** Decides which host may dispatch an order, so that it runs at most once. */
export type {MessageEvent} from './message_event.js';
export type {OrderAction} from './order_action.js';
export {OrderActionKind} from './order_action_kind.js';
export type {OrderEvent} from './order_event.js';
export {OrderEventKind} from './order_event_kind.js';
export {Orders} from './orders.js';
export {PeerState} from './peer_state.js';
export {Safeguard} from './safeguard.js';
export type {SubmitEvent} from './submit_event.js';
