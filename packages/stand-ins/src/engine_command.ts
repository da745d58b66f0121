import type {EngineOrderKind} from './engine_command_kind.js';

/** An order that changes what an engine serves. */
export interface EngineOrder {
  /** Orders with an older number than the last one are refused. */
  readonly fencing: number;
  readonly kind: EngineOrderKind;
  /** Model or adapter, for a load. */
  readonly name?: string;
  readonly version?: string;
  readonly role?: string;
}
