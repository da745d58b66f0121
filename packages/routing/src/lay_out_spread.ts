import {orderByRendezvous} from './order_by_rendezvous.js';
import type {SpreadEngine} from './spread_engine.js';
import type {SpreadLayout} from './spread_layout.js';

/** Part of an engine's memory that one spread prompt takes at most, if it can. */
const MEMORY_PART = 0.8;
/** Spread prompts that a site runs at once, if it has the engines. */
const SPREADS_PER_SITE = 2;

/**
 * Engines for a prompt that is larger than one engine's memory; undefined when
 * all of them together are too small. All hosts take them from the same few, at
 * the end of the rendezvous order where the longest prompts run.
 *
 * @param turn Number that moves on to other engines at each try.
 */
export function layOutSpread(
  model: string,
  engines: readonly SpreadEngine[],
  tokens: number,
  turn: number,
): SpreadLayout | undefined {
  if (engines.length === 0) return undefined;
  const leastMemory = Math.min(...engines.map(engine => engine.memoryTokens));
  const count =
    countFor(tokens, leastMemory * MEMORY_PART, engines.length) ??
    countFor(tokens, leastMemory, engines.length);
  if (count === undefined) return undefined;
  const names = engines.map(engine => engine.name);
  const ordered = orderByRendezvous(model, names).reverse();
  const groups = Math.min(SPREADS_PER_SITE, Math.floor(names.length / count));
  const first = (turn % groups) * count;
  const chosen = ordered.slice(first, first + count).sort();
  return {engines: chosen, tokensEach: Math.ceil(tokens / count)};
}

function countFor(
  tokens: number,
  memoryTokens: number,
  most: number,
): number | undefined {
  const count = Math.ceil(tokens / memoryTokens);
  return count <= most ? count : undefined;
}
