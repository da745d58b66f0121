import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {Shortlist} from './shortlist.js';

const BISECTION_ROUNDS = 6;

/**
 * Picks one of the engines that an even spread of the expected arrivals would
 * reach: two of them by lot, and the better of these.
 */
export class WaterFillingPicker {
  constructor(private readonly random: RandomGenerator) {}

  /**
   * Picks from a shortlist, whose order is lost; its lowest score is finite.
   *
   * @param expectedTokens Tokens that arrive before the scores are known anew.
   * @return Position of an engine.
   */
  pick(shortlist: Shortlist, expectedTokens: number): number {
    this.keepBelow(shortlist, shortlist.lowestScore + expectedTokens);
    this.keepBelow(shortlist, this.findLevel(shortlist, expectedTokens));
    const first = this.drawIndex(shortlist);
    const second = this.drawIndex(shortlist);
    const {positions, scores} = shortlist;
    const isFirst = (scores[first] ?? Infinity) <= (scores[second] ?? Infinity);
    return positions[isFirst ? first : second] ?? 0;
  }

  private keepBelow(shortlist: Shortlist, level: number): void {
    const {positions, scores, count} = shortlist;
    let keptCount = 0;
    for (let index = 0; index < count; index++) {
      const score = scores[index] ?? Infinity;
      if (score >= level) continue;
      positions[keptCount] = positions[index] ?? 0;
      scores[keptCount++] = score;
    }
    shortlist.count = keptCount;
  }

  private drawIndex({count}: Shortlist): number {
    return count > 1 ? uniformInt(this.random, 0, count - 1) : 0;
  }

  /** Level to which the lowest scores rise when the tokens are spread over them. */
  private findLevel(shortlist: Shortlist, expectedTokens: number): number {
    const {scores, count, lowestScore} = shortlist;
    let low = lowestScore;
    let high = lowestScore + expectedTokens;
    for (let round = 0; round < BISECTION_ROUNDS; round++) {
      const middle = (low + high) / 2;
      let filledTokens = 0;
      for (let index = 0; index < count; index++) {
        const gap = middle - (scores[index] ?? Infinity);
        if (gap > 0) filledTokens += gap;
      }
      if (filledTokens < expectedTokens) low = middle;
      else high = middle;
    }
    return high;
  }
}
