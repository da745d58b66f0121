import type {OrderIncarnation, OrderState} from '@parsleywood/schema/orders';
import {compareIncarnations} from './compare_incarnations.js';
import type {CrashVector} from './crash_vector.js';

/**
 * The incarnations that stopped voting in a graceful shutdown and whose claim
 * records this host has.
 */
export class Resignations {
  private readonly newestByHost = new Map<string, string>();
  private coveredFromMs = 0;

  constructor(private readonly crashVector: CrashVector) {}

  /**
   * Wall-clock time in milliseconds. Claims on keys first used earlier may be
   * missing in the records of the resigned hosts.
   */
  get memoryFromMs(): number {
    return this.coveredFromMs;
  }

  /** Adds the resignations that a peer reports together with its records. */
  merge(state: OrderState): void {
    if (state.resigned.length === 0) return;
    this.coveredFromMs = Math.max(this.coveredFromMs, state.memoryFromMs);
    for (const resigned of state.resigned) this.add(resigned);
  }

  add({host, incarnation}: OrderIncarnation): void {
    const known = this.newestByHost.get(host);
    const isNewer =
      known === undefined || compareIncarnations(known, incarnation) < 0;
    if (isNewer) this.newestByHost.set(host, incarnation);
  }

  /** Lists the resigned hosts without a known newer incarnation. */
  listHosts(): string[] {
    return this.list()
      .filter(({host, incarnation}) =>
        this.crashVector.isCurrent(host, incarnation),
      )
      .map(({host}) => host);
  }

  list(): OrderIncarnation[] {
    return [...this.newestByHost].map(([host, incarnation]) => ({
      host,
      incarnation,
    }));
  }
}
