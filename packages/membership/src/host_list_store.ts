import type {HostList} from '@parsleywood/schema/host_list';
import {PublishedHosts} from '@parsleywood/schema/membership';

const MAX_SEND_BYTES_PER_S = 8_000;
const MS_PER_S = 1_000;
const LEAVING = 'leaving';
const LIVE = 'live';

/** Holds the newest host list and rate-limits sending it to outdated peers. */
export class HostListStore {
  private list: HostList = {hosts: []};
  private message: PublishedHosts = {revision: 0, hosts: []};
  private messageBytes = 0;
  private nextSendMs = 0;

  /** Revision of the current list; 0 before the first one. */
  get revision(): number {
    return this.message.revision;
  }

  get hosts(): HostList['hosts'] {
    return this.list.hosts;
  }

  /** Returns false and ignores the list if its revision is not newer. */
  replaceIfNewer(list: HostList, revision: number): boolean {
    if (revision <= this.revision) return false;
    this.list = list;
    this.message = {revision, hosts: list.hosts.map(encodeHost)};
    this.messageBytes = PublishedHosts.encode(this.message).finish().length;
    return true;
  }

  /** Returns the list if the peer has an older one, within the rate limit. */
  takeMessageFor(
    peerRevision: number,
    nowMs: number,
  ): PublishedHosts | undefined {
    if (peerRevision >= this.revision || nowMs < this.nextSendMs) {
      return undefined;
    }
    this.nextSendMs =
      nowMs + (this.messageBytes * MS_PER_S) / MAX_SEND_BYTES_PER_S;
    return this.message;
  }

  /** Decodes a host list that a peer sent. */
  static decode(message: PublishedHosts): HostList {
    return {
      hosts: message.hosts.map(host => ({
        name: host.name,
        callers: host.callers,
        peers: host.peers,
        failureDomain: host.failureDomain,
        state: host.leaving ? LEAVING : LIVE,
      })),
    };
  }
}

function encodeHost(host: HostList['hosts'][number]) {
  const {name, callers, peers, failureDomain, state} = host;
  return {name, callers, peers, failureDomain, leaving: state === LEAVING};
}
