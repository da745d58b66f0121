import {orderByRendezvous} from './order_by_rendezvous.js';
import type {SpreadEngine} from './spread_engine.js';
import type {SpreadLayout} from './spread_layout.js';

/**
 * Maximum fraction of the memory of an engine that a spread prompt uses, if
 * there are enough engines.
 */
const PREFERRED_MEMORY_FRACTION = 0.8;
/**
 * Number of spread prompts that a site can run at the same time, if there are
 * enough engines.
 */
const CONCURRENT_SPREADS = 2;

/**
 * Chooses the engines for a prompt that exceeds the memory of one engine. Returns
 * undefined when all engines together have too little memory. All hosts choose
 * from the same few engines, at the end of the rendezvous order, where the lane
 * of the longest prompts is.
 *
 * @param rotation Selects the group of engines; increases with each retry.
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
