import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Constructor options of `SpreadScheduler`. */
export interface SpreadOptions {
  /**
   * Name of this host; makes the names of its reservations unique among all
   * hosts.
   */
  readonly host: string;
  /**
   * Seeded differently on each host, so that hosts back off for different
   * times.
   */
  readonly random: RandomGenerator;
  /**
   * Time after which an engine frees a reservation that is not renewed;
   * defaults to 10 s.
   */
  readonly leaseMs?: number;
  /**
   * Time to wait for the answer of an engine to a reservation; defaults to 1 s.
   */
  readonly answerTimeoutMs?: number;
}
