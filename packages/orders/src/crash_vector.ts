import type {OrderIncarnation} from '@parsleywood/schema/orders';
import {compareIncarnations} from './compare_incarnations.js';

/** The newest known incarnation of each host. */
export class CrashVector {
  private readonly newestByHost = new Map<string, string>();

  observe(host: string, incarnation: string): void {
    const known = this.newestByHost.get(host);
    if (known === undefined || compareIncarnations(known, incarnation) < 0) {
      this.newestByHost.set(host, incarnation);
    }
  }

  merge(entries: readonly OrderIncarnation[]): void {
    for (const {host, incarnation} of entries) this.observe(host, incarnation);
  }

  /** Whether no incarnation of the host is known that is newer than this one. */
  isCurrent(host: string, incarnation: string): boolean {
    const known = this.newestByHost.get(host);
    return known === undefined || compareIncarnations(known, incarnation) <= 0;
  }

  /** Lists the known incarnations of the given hosts, or of all hosts. */
  toEntries(hosts?: readonly string[]): OrderIncarnation[] {
    const entries: OrderIncarnation[] = [];
    for (const host of hosts ?? this.newestByHost.keys()) {
      const incarnation = this.newestByHost.get(host);
      if (incarnation !== undefined) entries.push({host, incarnation});
    }
    return entries;
  }
}
