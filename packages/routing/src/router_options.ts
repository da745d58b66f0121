import type {LengthClassSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** What a lane router is built from. */
export interface RouterOptions {
  /** Name of this host, by which peers know it. */
  readonly host: string;
  readonly lengthClasses: readonly [
    LengthClassSettings,
    ...LengthClassSettings[],
  ];
  /** Seeded apart on each host, so that hosts with the same view choose apart. */
  readonly random: RandomGenerator;
  /** First estimate of an engine's prefill rate; corrected by measured attempts. */
  readonly prefillTokensPerMs?: number;
  /** Longest prefill between two turns of an engine's batch; 25 ms when absent. */
  readonly chunkMs?: number;
}
