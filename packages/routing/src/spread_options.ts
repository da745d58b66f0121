import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** What a spread plan is built from. */
export interface SpreadOptions {
  /** Name of this host; part of each reservation's name. */
  readonly host: string;
  /** Seeded apart on each host. */
  readonly random: RandomGenerator;
  /** Time after which an engine frees a reservation that is not renewed. */
  readonly leaseMs?: number;
  /** Time after which a reservation without an answer is given up. */
  readonly answerTimeoutMs?: number;
}
