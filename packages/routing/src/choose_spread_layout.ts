import {orderByRendezvous} from './order_by_rendezvous.js';
import type {SpreadEngine} from './spread_engine.js';
import type {SpreadLayout} from './spread_layout.js';

/** Part of an engine's memory that one spread prompt takes at most, if it can. */
const PREFERRED_MEMORY_FRACTION = 0.8;
/** Spread prompts that a site runs at once, if it has the engines. */
const CONCURRENT_SPREADS = 2;

/**
 * Engines for a prompt that is larger than one engine's memory; undefined when
 * all of them together are too small. All hosts take them from the same few, at
 * the end of the rendezvous order where the longest prompts run.
 *
 * @param rotation Number that moves on to other engines at each try.
 */
export function chooseSpreadLayout(
  model: string,
  engines: readonly SpreadEngine[],
  tokens: number,
  rotation: number,
): SpreadLayout | undefined {
  if (engines.length === 0) return undefined;
  const minMemoryTokens = Math.min(
    ...engines.map(engine => engine.memoryTokens),
  );
  const count =
    countEngines(
      tokens,
      minMemoryTokens * PREFERRED_MEMORY_FRACTION,
      engines.length,
    ) ?? countEngines(tokens, minMemoryTokens, engines.length);
  if (count === undefined) return undefined;
  const names = engines.map(engine => engine.name);
  const ordered = orderByRendezvous(model, names).reverse();
  const groups = Math.min(CONCURRENT_SPREADS, Math.floor(names.length / count));
  const first = (rotation % groups) * count;
  const chosen = ordered.slice(first, first + count).sort();
  return {engines: chosen, tokensPerEngine: Math.ceil(tokens / count)};
}

function countEngines(
  tokens: number,
  memoryTokens: number,
  maxCount: number,
): number | undefined {
  const count = Math.ceil(tokens / memoryTokens);
  return count <= maxCount ? count : undefined;
}
