import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Draws a number from 0 to below a bound. */
export function drawBelow(random: RandomGenerator, bound: number): number {
  return uniformFloat64(random) * bound;
}
