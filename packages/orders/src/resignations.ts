import type {OrderIncarnation, OrderState} from '@parsleywood/schema/orders';
import {compareIncarnations} from './compare_incarnations.js';
import type {CrashVector} from './crash_vector.js';

/** The hosts that vote no more and whose claims are known here. */
export class Resignations {
  private readonly newestByHost = new Map<string, string>();
  private coveredFromMs = 0;

  constructor(private readonly crashVector: CrashVector) {}

  /** Keys first used before this time may be unknown to those that left. */
  get memoryFromMs(): number {
    return this.coveredFromMs;
  }

  /** Takes the resignations that a peer tells of, with all its claims. */
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

  /** Hosts of which no later incarnation is known. */
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
