import type {Engine} from './engine.js';
import {PrefillRate} from './prefill_rate.js';

/** The engines of one model, in rendezvous order. */
export class ModelEngines {
  /** Scores of one decision, by position; kept to spare allocations. */
  readonly scores: Float64Array;
  /** Memory of the largest engine, in tokens. */
  readonly maxMemoryTokens: number;

  constructor(
    readonly engines: readonly Engine[],
    readonly rate: PrefillRate,
  ) {
    this.scores = new Float64Array(engines.length);
    this.maxMemoryTokens = engines.reduce(
      (most, engine) => Math.max(most, engine.upstream.memoryTokens),
      0,
    );
  }
}
