import type {StorePosition} from './store_position.js';

/** Orders states of the store: positive if the left one is later. */
export function comparePositions(
  left: StorePosition,
  right: StorePosition,
): number {
  return left.epoch - right.epoch || left.revision - right.revision;
}
