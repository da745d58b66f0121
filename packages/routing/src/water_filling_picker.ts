import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {Shortlist} from './shortlist.js';

const BISECTION_ROUNDS = 6;

/**
 * Picks an engine by water filling and two random choices. Water filling selects
 * the engines that receive work when the expected arrivals are distributed so
 * that the lowest scores become equal. The better of two random ones is picked.
 */
export class WaterFillingPicker {
  constructor(private readonly random: RandomGenerator) {}

  /**
   * Picks an engine and overwrites the shortlist. The lowest score must be finite.
   *
   * @param expectedTokens Prompt tokens that are expected to arrive before the
   *   scores are updated.
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

  /**
   * Finds by bisection the level to which the expected tokens raise the lowest
   * scores.
   */
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
