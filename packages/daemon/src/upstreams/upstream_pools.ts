import {Pool} from 'undici';

/** Longest wait for a connection to an upstream, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_PER_UPSTREAM = 512;
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;

/** Connections to upstreams, by address. */
export class UpstreamPools {
  private readonly pools = new Map<string, Pool>();

  /** Finds or opens the connections to an address (IP:port). */
  get(address: string): Pool {
    const existing = this.pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS_PER_UPSTREAM,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    });
    this.pools.set(address, pool);
    return pool;
  }

  /** Closes the connections to addresses that are no longer listed. */
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
