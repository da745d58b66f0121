import type {EngineOrderKind} from './engine_order_kind.js';

/** A model or adapter that an engine is to hold. */
export interface WantedLoad {
  readonly kind: EngineOrderKind.LOAD_MODEL | EngineOrderKind.LOAD_ADAPTER;
  readonly name: string;
  readonly version: string;
  /** Size in the weight store, in bytes. */
  readonly sizeBytes: number;
}
