import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator, so that runs can be repeated. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 to bound - 1. */
  drawBelow(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /** Shuffles the items in place and returns them. */
  shuffle<T>(items: T[]): T[] {
    for (let i = items.length - 1; i > 0; i--) {
      const j = this.drawBelow(i + 1);
      const moved = items[i] as T;
      items[i] = items[j] as T;
      items[j] = moved;
    }
    return items;
  }

  /** Returns up to count distinct items. */
  sample<T>(items: readonly T[], count: number): T[] {
    const drawn = new Set<number>();
    const wanted = Math.min(count, items.length);
    while (drawn.size < wanted) drawn.add(this.drawBelow(items.length));
    return [...drawn].map(index => items[index] as T);
  }
}
