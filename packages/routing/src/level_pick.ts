import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {Shortlist} from './shortlist.js';

const ROUNDS = 6;

/**
 * Picks one of the engines that an even spread of the expected arrivals would
 * reach: two of them by lot, and the better of these.
 */
export class LevelPick {
  constructor(private readonly random: RandomGenerator) {}

  /**
   * Picks from a shortlist, whose order is lost; its lowest score is finite.
   *
   * @param tokens Tokens that arrive before the scores are known anew.
   * @return Position of an engine.
   */
  pick(shortlist: Shortlist, tokens: number): number {
    this.keepBelow(shortlist, shortlist.lowest + tokens);
    this.keepBelow(shortlist, this.findLevel(shortlist, tokens));
    const first = this.draw(shortlist);
    const second = this.draw(shortlist);
    const {rows, scores} = shortlist;
    const isFirst = (scores[first] ?? Infinity) <= (scores[second] ?? Infinity);
    return rows[isFirst ? first : second] ?? 0;
  }

  private keepBelow(shortlist: Shortlist, level: number): void {
    const {rows, scores, count} = shortlist;
    let kept = 0;
    for (let index = 0; index < count; index++) {
      const score = scores[index] ?? Infinity;
      if (score >= level) continue;
      rows[kept] = rows[index] ?? 0;
      scores[kept++] = score;
    }
    shortlist.count = kept;
  }

  private draw({count}: Shortlist): number {
    return count > 1 ? uniformInt(this.random, 0, count - 1) : 0;
  }

  /** Level to which the lowest scores rise when the tokens are spread over them. */
  private findLevel(shortlist: Shortlist, tokens: number): number {
    const {scores, count, lowest} = shortlist;
    let low = lowest;
    let high = lowest + tokens;
    for (let round = 0; round < ROUNDS; round++) {
      const middle = (low + high) / 2;
      let filled = 0;
      for (let index = 0; index < count; index++) {
        const gap = middle - (scores[index] ?? Infinity);
        if (gap > 0) filled += gap;
      }
      if (filled < tokens) low = middle;
      else high = middle;
    }
    return high;
  }
}
