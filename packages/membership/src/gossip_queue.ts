const SENDS_PER_DOUBLING = 3;

/** Names of hosts whose news is still to be spread, least sent first. */
export class GossipQueue {
  private readonly sends = new Map<string, number>();

  /** Starts to spread the news of a host anew. */
  add(host: string): void {
    this.sends.set(host, 0);
  }

  remove(host: string): void {
    this.sends.delete(host);
  }

  /**
   * Takes the names for one message.
   *
   * @param count Most names wanted.
   * @param members Number of hosts that the news has to reach.
   */
  take(count: number, members: number): string[] {
    if (this.sends.size === 0) return [];
    const limit = SENDS_PER_DOUBLING * Math.ceil(Math.log2(members + 2));
    const chosen = [...this.sends]
      .sort((a, b) => a[1] - b[1])
      .slice(0, count)
      .map(([host]) => host);
    for (const host of chosen) this.countSend(host, limit);
    return chosen;
  }

  private countSend(host: string, limit: number): void {
    const sends = (this.sends.get(host) ?? 0) + 1;
    if (sends >= limit) this.sends.delete(host);
    else this.sends.set(host, sends);
  }
}
