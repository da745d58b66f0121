import {HttpPool} from '@parsleywood/http';
import {createPacedConnector} from '../host/create_paced_connector.js';

const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_PER_UPSTREAM = 512;
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;

/** Connection pools of upstreams, by address. */
export class UpstreamPools {
  private readonly pools = new Map<string, HttpPool>();
  private readonly connect = createPacedConnector(CONNECT_TIMEOUT_MS);

  /** Returns the pool of an address (IP:port); creates it if necessary. */
  get(address: string): HttpPool {
    const existing = this.pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new HttpPool(`http://${address}`, {
      connections: CONNECTIONS_PER_UPSTREAM,
      connect: this.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    });
    this.pools.set(address, pool);
    return pool;
  }

  /** Closes the pools of all other addresses once their requests are done. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (addresses.has(address)) continue;
      this.pools.delete(address);
      void pool.close();
    }
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }
}
