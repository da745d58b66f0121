import type {HostStatus} from '@parsleywood/schema/host_status';
import type {Member} from '@parsleywood/config';
import type {PeerTransport} from './peer_transport.js';

const RETRY_MS = 1_000;

/**
 * Finds peers by the addresses of the start settings, for a host that starts
 * while the configuration service is down.
 */
export class SeedPeers {
  private readonly addresses = new Map<string, string>();
  private stopped = false;

  /** @param onFound Told of the peers found so far. */
  constructor(
    private readonly seeds: readonly string[],
    private readonly transport: PeerTransport,
    private readonly onFound: (members: readonly Member[]) => void,
  ) {}

  /** IP:port of a peer found by a seed. */
  addressOf(host: string): string | undefined {
    return this.addresses.get(host);
  }

  /** Asks the seeds who they are until each one answered or stop is called. */
  start(): void {
    for (const seed of this.seeds) void this.find(seed);
  }

  stop(): void {
    this.stopped = true;
  }

  private async find(seed: string): Promise<void> {
    while (!this.stopped) {
      const result = await this.transport.readStatusAt(seed);
      if (result.isOk) {
        const {name, failureDomain} = JSON.parse(result.value) as HostStatus;
        this.addresses.set(name, seed);
        this.onFound([{host: name, failureDomain}]);
        return;
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
  }
}
