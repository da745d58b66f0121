import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/**
 * Draws a uniformly distributed number from 0 up to, but excluding, `bound`.
 */
export function drawBelow(random: RandomGenerator, bound: number): number {
  return uniformFloat64(random) * bound;
}
