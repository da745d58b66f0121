/**
 * Bounds the connections of a port. Load pattern: clients that open connections and
 * leave them idle, or that never end the head of a request, as many as a host's
 * descriptors and memory.
 */
export class ConnectionBounds<Connection> {
  /** Connections without a request, the longest idle first. */
  private readonly idle = new Set<Connection>();
  private readonly busy = new Set<Connection>();

  /**
   * @param maxConnections Connections that may be open.
   * @param busyWeight How many connections one with a request counts as, since it
   *     may need another one to an upstream.
   */
  constructor(
    private readonly maxConnections: number,
    private readonly busyWeight: number,
  ) {}

  get count(): number {
    return this.idle.size + this.busy.size;
  }

  /** Adds a connection. @return Connections to close, which are forgotten. */
  open(connection: Connection): Connection[] {
    this.idle.add(connection);
    return this.trim();
  }

  /**
   * Records that a connection has the whole head of a request.
   *
   * @return Connections to close, which are forgotten.
   */
  recordBusy(connection: Connection): Connection[] {
    if (!this.idle.delete(connection)) return [];
    this.busy.add(connection);
    return this.trim();
  }

  /** Records that a connection has no request any more. */
  recordIdle(connection: Connection): void {
    if (this.busy.delete(connection)) this.idle.add(connection);
  }

  close(connection: Connection): void {
    this.idle.delete(connection);
    this.busy.delete(connection);
  }

  /** The newest connection goes where none is idle. */
  private trim(): Connection[] {
    const closed: Connection[] = [];
    while (this.weigh() > this.maxConnections) {
      const [oldest] = this.idle;
      const chosen = oldest ?? [...this.busy].at(-1);
      if (chosen === undefined) break;
      this.close(chosen);
      closed.push(chosen);
    }
    return closed;
  }

  private weigh(): number {
    return this.idle.size + this.busy.size * this.busyWeight;
  }
}
