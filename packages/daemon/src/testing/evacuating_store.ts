import {
  type SiteChange,
  type SiteSnapshot,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';

interface Write {
  readonly domain: string;
  readonly isRemoved: boolean;
}

/** Store of evacuations that comes back from copies of itself. */
export class EvacuatingStore {
  epoch = 1;
  private writes: Write[] = [];
  private readonly upstreams: readonly UpstreamEntry[];

  constructor(domains: readonly string[]) {
    this.upstreams = domains.map(failureDomain =>
      createUpstream(failureDomain, {failureDomain, revision: 1}),
    );
  }

  get revision(): number {
    return this.writes.length + 1;
  }

  has(domain: string): boolean {
    return this.listKeys().includes(domain);
  }

  write(domain: string, isRemoved: boolean): void {
    this.writes.push({domain, isRemoved});
  }

  /** @param lost Number of the last writes that the copy lacks. */
  restore(lost: number): void {
    this.writes = this.writes.slice(0, Math.max(0, this.writes.length - lost));
    this.epoch++;
  }

  list(): SiteSnapshot {
    const {epoch, revision, upstreams} = this;
    return {epoch, revision, upstreams, evacuatedDomains: this.listKeys()};
  }

  watch(after: number): SiteChange {
    const last = new Map(
      this.writes.slice(after - 1).map(one => [one.domain, one.isRemoved]),
    );
    const select = (isRemoved: boolean): string[] =>
      [...last].flatMap(([domain, is]) => (is === isRemoved ? [domain] : []));
    return {
      epoch: this.epoch,
      revision: this.revision,
      updated: [],
      removed: [],
      evacuated: select(false),
      restored: select(true),
    };
  }

  private listKeys(): string[] {
    const last = new Map(this.writes.map(one => [one.domain, one.isRemoved]));
    return [...last].flatMap(([domain, isRemoved]) =>
      isRemoved ? [] : [domain],
    );
  }
}
