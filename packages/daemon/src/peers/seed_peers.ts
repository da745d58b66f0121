import type {HostStatus} from '@parsleywood/schema/host_status';
import type {Member} from '@parsleywood/config';
import type {PeerTransport} from './peer_transport.js';

const RETRY_INTERVAL_MS = 1_000;

/**
 * Finds peers by the seed addresses in the start settings, so that a host can
 * start while the configuration service is down.
 */
export class SeedPeers {
  private readonly addresses = new Map<string, string>();
  private stopped = false;

  /** @param onFound Called with each peer when it is found. */
  constructor(
    private readonly seeds: readonly string[],
    private readonly transport: PeerTransport,
    private readonly onFound: (members: readonly Member[]) => void,
  ) {}

  /** Returns the seed address (IP:port) at which a peer was found. */
  addressOf(host: string): string | undefined {
    return this.addresses.get(host);
  }

  /**
   * Queries the status of each seed address until a host answers there or stop
   * is called.
   */
  start(): void {
    for (const seed of this.seeds) void this.querySeed(seed);
  }

  stop(): void {
    this.stopped = true;
  }

  private async querySeed(seed: string): Promise<void> {
    while (!this.stopped) {
      const result = await this.transport.readStatusAt(seed);
      if (result.isOk) {
        const {name, failureDomain} = JSON.parse(result.value) as HostStatus;
        this.addresses.set(name, seed);
        this.onFound([{host: name, failureDomain}]);
        return;
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
    }
  }
}
