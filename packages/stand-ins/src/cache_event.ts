import type {CacheEventKind} from './cache_event_kind.js';

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  /** Grows by one with each change; missing numbers are lost events. */
  readonly sequence: number;
  readonly kind: CacheEventKind;
  /** Hash of the block and all blocks before it. */
  readonly prefixHash: string;
}
