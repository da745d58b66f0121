import type {EngineOrderKind} from './engine_order_kind.js';

/** One order to an engine, as it goes over the wire. */
export interface EngineOrder {
  readonly fencing: number;
  readonly kind: EngineOrderKind;
  readonly name?: string;
  readonly version?: string;
  readonly role?: string;
}
