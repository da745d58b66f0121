import type {HostList} from '@parsleywood/schema/host_list';
import {PublishedHosts} from '@parsleywood/schema/membership';

const LIST_BYTES_PER_S = 8_000;
const MS_PER_S = 1_000;
const LEAVING = 'leaving';
const LIVE = 'live';

/** Holds the newest host list and paces its copies to peers that lag. */
export class ListHolder {
  private list: HostList = {hosts: []};
  private copy: PublishedHosts = {revision: 0, hosts: []};
  private copyBytes = 0;
  private nextCopyMs = 0;

  /** Revision of the list held; 0 for none. */
  get revision(): number {
    return this.copy.revision;
  }

  get hosts(): HostList['hosts'] {
    return this.list.hosts;
  }

  /** Adopts a list if it is newer than the one held. */
  adopt(list: HostList, revision: number): boolean {
    if (revision <= this.revision) return false;
    this.list = list;
    this.copy = {revision, hosts: list.hosts.map(publish)};
    this.copyBytes = PublishedHosts.encode(this.copy).finish().length;
    return true;
  }

  /** Gives the list for a peer that holds an older one, if pacing allows. */
  takeCopy(peerRevision: number, nowMs: number): PublishedHosts | undefined {
    if (peerRevision >= this.revision || nowMs < this.nextCopyMs) {
      return undefined;
    }
    this.nextCopyMs = nowMs + (this.copyBytes * MS_PER_S) / LIST_BYTES_PER_S;
    return this.copy;
  }

  /** Reads a copy that a peer sent. */
  static read(copy: PublishedHosts): HostList {
    return {
      hosts: copy.hosts.map(host => ({
        name: host.name,
        callers: host.callers,
        peers: host.peers,
        failureDomain: host.failureDomain,
        state: host.leaving ? LEAVING : LIVE,
      })),
    };
  }
}

function publish(host: HostList['hosts'][number]) {
  const {name, callers, peers, failureDomain, state} = host;
  return {name, callers, peers, failureDomain, leaving: state === LEAVING};
}
