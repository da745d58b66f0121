import {ReadBudget} from '@parsleywood/forwarding';
import type {Clock} from '../../host/clock.js';
import {SocketReader} from '../../host/socket_reader.js';
import {UpstreamConnection} from './upstream_connection.js';

/** Maximum number of idle connections kept for each upstream. */
const MAX_IDLE_CONNECTIONS = 16;
/**
 * Idle time after which a connection is not reused: it may have been dropped
 * unnoticed.
 */
const MAX_IDLE_MS = 8_000;
/** Bytes of a response that are read at once. */
const TURN_BYTES = 8_192;

/** Pool of idle connections to upstreams, by the upstream's id. */
export class UpstreamConnectionPool {
  private readonly idle = new Map<string, UpstreamConnection[]>();
  private readonly budget = new ReadBudget();

  constructor(private readonly clock: Clock) {}

  /**
   * Returns an idle connection to an upstream on which the request was not refused,
   * or a new one that is not yet connected.
   */
  acquire(
    upstream: string,
    address: string,
    requestId: string,
  ): UpstreamConnection {
    const idle = this.idle.get(upstream) ?? [];
    const nowMs = this.clock.nowMs();
    for (let one = idle.pop(); one !== undefined; one = idle.pop()) {
      const isFresh = nowMs - one.idleSinceMs < MAX_IDLE_MS;
      if (one.isOpen && isFresh && !one.hasRefused(requestId)) return one;
      one.close();
    }
    return this.open(address);
  }

  /** Returns a connection that is not yet connected. */
  open(address: string): UpstreamConnection {
    const reader = new SocketReader(TURN_BYTES, this.budget, this.clock);
    return new UpstreamConnection(address, reader);
  }

  /** Returns a connection to the pool after a complete response. */
  release(upstream: string, connection: UpstreamConnection): void {
    const idle = this.idle.get(upstream) ?? [];
    if (!connection.isOpen || idle.length >= MAX_IDLE_CONNECTIONS) {
      connection.close();
      return;
    }
    connection.idleSinceMs = this.clock.nowMs();
    idle.push(connection);
    this.idle.set(upstream, idle);
  }

  /** Closes the idle connections to an upstream that may no longer respond. */
  closeIdle(upstream: string): void {
    for (const connection of this.idle.get(upstream) ?? []) connection.close();
    this.idle.delete(upstream);
  }

  /** Closes the connections to upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const name of [...this.idle.keys()]) {
      if (!upstreams.has(name)) this.closeIdle(name);
    }
  }

  close(): void {
    for (const name of [...this.idle.keys()]) this.closeIdle(name);
  }
}
