import type {LengthClassSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Constructor options of `LaneRouter`. */
export interface RouterOptions {
  /** Name of this host, as its peers know it. */
  readonly host: string;
  readonly lengthClasses: readonly [
    LengthClassSettings,
    ...LengthClassSettings[],
  ];
  /**
   * Seeded differently on each host, so that hosts with the same view of the
   * load choose different engines.
   */
  readonly random: RandomGenerator;
  /**
   * Initial estimate of the prefill rate of an engine; measured attempts
   * correct it.
   */
  readonly prefillTokensPerMs?: number;
  /**
   * Target duration of a prefill chunk between two batch steps; defaults to 25
   * ms.
   */
  readonly chunkMs?: number;
}
