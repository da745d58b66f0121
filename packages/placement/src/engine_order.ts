import type {EngineOrderKind} from './engine_order_kind.js';

/** One order to an engine, as it goes over the wire. */
export interface EngineOrder {
  readonly fencing: number;
  readonly kind: EngineOrderKind;
  readonly name?: string;
  readonly version?: string;
  /** Of `set_role`; absent: the role stays, only the fencing number counts. */
  readonly role?: string;
}
