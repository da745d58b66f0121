import type {LoadPattern} from '@parsleywood/schema/load_pattern';
import type {Arrival} from './arrival.js';

const MS_PER_SECOND = 1_000;
/** Prompts beyond this many means would not be typical of a kind. */
const MOST_MEANS = 6;

/**
 * Lists the requests of a pattern: the recorded ones, and ones drawn by rate.
 *
 * @param draw Draws a number between 0 and 1.
 */
export function drawArrivals(
  {kinds, bursts = [], arrivals = [], durationMs}: LoadPattern,
  draw: () => number,
): Arrival[] {
  const all = arrivals.map(
    ([atMs, kind, promptTokens, answerTokens]): Arrival => ({
      atMs,
      kind,
      promptTokens,
      answerTokens,
    }),
  );
  for (const [kind, one] of kinds.entries()) {
    const own = bursts.filter(burst => burst.kind === one.name);
    const most = Math.max(1, ...own.map(({factor}) => factor));
    const rateMs = (one.perSecond * most) / MS_PER_SECOND;
    if (rateMs <= 0) continue;
    let atMs = -Math.log(1 - draw()) / rateMs;
    while (atMs < durationMs) {
      const at = atMs;
      const burst = own.find(
        ({atMs: from, forMs}) => at >= from && at < from + forMs,
      );
      // Thinning: the rate of the moment against the highest one.
      if (draw() * most < (burst?.factor ?? 1)) {
        const promptTokens = drawPrompt(one.promptTokens, one.spread, draw);
        const answerTokens = Math.round(one.answerTokens);
        all.push({atMs, kind, promptTokens, answerTokens});
      }
      atMs += -Math.log(1 - draw()) / rateMs;
    }
  }
  return all.sort((left, right) => left.atMs - right.atMs);
}

/** Draws a length whose logarithm is normal. */
function drawPrompt(mean: number, spread: number, draw: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - draw()));
  const normal = radius * Math.cos(2 * Math.PI * draw());
  const drawn = mean * Math.exp(spread * normal - (spread * spread) / 2);
  return Math.max(1, Math.round(Math.min(drawn, MOST_MEANS * mean)));
}
