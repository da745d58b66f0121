/** Sends of an update for each doubling of the number of members. */
const RETRANSMIT_FACTOR = 3;

/** Hosts whose updates await gossip; the least sent ones go first. */
export class GossipQueue {
  private readonly sendCounts = new Map<string, number>();

  /** Queues a host, or restarts its send count if it is queued already. */
  add(host: string): void {
    this.sendCounts.set(host, 0);
  }

  remove(host: string): void {
    this.sendCounts.delete(host);
  }

  /**
   * Returns the hosts to include in one message and counts the send.
   *
   * @param count Maximum number of hosts.
   * @param members Number of hosts that an update has to reach.
   */
  takeForMessage(count: number, members: number): string[] {
    if (this.sendCounts.size === 0) return [];
    const limit = RETRANSMIT_FACTOR * Math.ceil(Math.log2(members + 2));
    const chosen = [...this.sendCounts]
      .sort((a, b) => a[1] - b[1])
      .slice(0, count)
      .map(([host]) => host);
    for (const host of chosen) this.countSend(host, limit);
    return chosen;
  }

  private countSend(host: string, limit: number): void {
    const sends = (this.sendCounts.get(host) ?? 0) + 1;
    if (sends >= limit) this.sendCounts.delete(host);
    else this.sendCounts.set(host, sends);
  }
}
