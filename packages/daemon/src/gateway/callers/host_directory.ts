import type {
  DirectoryQuery,
  HomeRegions,
  SiteReplica,
} from '@parsleywood/forwarding';
import {
  selectReachingPeers,
  type PeerHeartbeat,
  type ReachState,
} from '@parsleywood/membership';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';

/** Lists the hosts that a caller may use, by what this host hears of the others. */
export class HostDirectory {
  /**
   * @param isServing Whether this host itself accepts requests.
   * @param listHeartbeats Lists the last heartbeats of the other live hosts.
   * @param readReach Returns whether this host reaches upstreams.
   */
  constructor(
    private readonly settings: Pick<
      GatewaySettings,
      'callersAddress' | 'failureDomain'
    >,
    private readonly replica: Pick<SiteReplica, 'rules'>,
    private readonly homeRegions: HomeRegions,
    private readonly isServing: () => boolean,
    private readonly listHeartbeats: () => readonly PeerHeartbeat[],
    private readonly readReach: () => ReachState,
  ) {}

  /** Lists the hosts that accept requests, as IP:port for callers. */
  list(query: DirectoryQuery): string[] {
    const peers = selectReachingPeers(this.listHeartbeats(), this.readReach());
    const hosts = this.isServing() ? [this.settings, ...peers] : peers;
    return this.homeRegions
      .selectHosts(hosts, this.replica.rules?.configuration, query)
      .map(({callersAddress}) => callersAddress);
  }
}
