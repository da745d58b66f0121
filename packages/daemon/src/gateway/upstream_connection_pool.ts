import type {Clock} from '../host/clock.js';
import {UpstreamConnection} from './upstream_connection.js';

/** Most idle connections kept for one upstream. */
const MAX_IDLE = 16;
/** Idle time beyond which a connection may have been dropped unnoticed. */
const MAX_IDLE_MS = 8_000;

/** Connections to upstreams, by the upstream's id. */
export class UpstreamConnections {
  private readonly idle = new Map<string, UpstreamConnection[]>();

  constructor(private readonly clock: Clock) {}

  /** Takes an idle connection to an upstream, or one yet to be opened. */
  acquire(upstream: string, address: string): UpstreamConnection {
    const idle = this.idle.get(upstream) ?? [];
    const nowMs = this.clock.nowMs();
    for (let one = idle.pop(); one !== undefined; one = idle.pop()) {
      if (one.isOpen && nowMs - one.idleSinceMs < MAX_IDLE_MS) return one;
      one.close();
    }
    return new UpstreamConnection(address);
  }

  /** Gives a connection back after a whole answer. */
  release(upstream: string, connection: UpstreamConnection): void {
    const idle = this.idle.get(upstream) ?? [];
    if (!connection.isOpen || idle.length >= MAX_IDLE) {
      connection.close();
      return;
    }
    connection.idleSinceMs = this.clock.nowMs();
    idle.push(connection);
    this.idle.set(upstream, idle);
  }

  /** Closes the idle connections to one upstream, which may have gone silent. */
  distrust(upstream: string): void {
    for (const connection of this.idle.get(upstream) ?? []) connection.close();
    this.idle.delete(upstream);
  }

  /** Closes the connections to upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const name of [...this.idle.keys()]) {
      if (!upstreams.has(name)) this.distrust(name);
    }
  }

  close(): void {
    for (const name of [...this.idle.keys()]) this.distrust(name);
  }
}
