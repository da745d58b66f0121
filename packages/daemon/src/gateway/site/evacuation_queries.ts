/** Peers that are asked at once; some may have just started or be of old versions. */
const PEERS_PER_QUERY = 3;
/**
 * Initial and maximum time between two rounds of queries. An answer may be the whole
 * state, and the store tells a host that it does not refuse sooner.
 */
const INITIAL_INTERVAL_MS = 1_000;
const MAX_INTERVAL_MS = 32_000;

/**
 * Chooses the peers that are asked for evacuations. Load pattern: a host starts after
 * the store came back from a copy, or hears from hosts of earlier versions alone.
 */
export class EvacuationQueries {
  private hasAskedAtStart = false;
  private rounds = 0;
  private nextAtMs = Infinity;
  private known: readonly string[] = [];
  private readonly tellers = new Set<string>();

  /** Records a peer that knows evacuations. */
  recordTeller(peer: string): void {
    this.tellers.add(peer);
  }

  /**
   * Chooses the peers to ask now.
   *
   * @param peers Addresses of the live peers.
   * @param hasState Whether this host has loaded the published state.
   * @param isBehind Whether it may have missed evacuations.
   */
  choose(
    peers: readonly string[],
    hasState: boolean,
    isBehind: boolean,
    nowMs: number,
  ): readonly string[] {
    const isFirst = hasState && peers.length > 0 && !this.hasAskedAtStart;
    if (isFirst) {
      this.hasAskedAtStart = true;
      return peers.slice(0, PEERS_PER_QUERY);
    }
    this.plan(peers, isBehind, nowMs);
    if (peers.length === 0 || nowMs < this.nextAtMs) return [];
    const delayMs = INITIAL_INTERVAL_MS * 2 ** this.rounds;
    this.nextAtMs = nowMs + Math.min(delayMs, MAX_INTERVAL_MS);
    return this.select(peers, this.rounds++);
  }

  private plan(
    peers: readonly string[],
    isBehind: boolean,
    nowMs: number,
  ): void {
    const hasNew = peers.some(peer => !this.known.includes(peer));
    this.known = isBehind ? peers : [];
    if (!isBehind) this.nextAtMs = Infinity;
    else if (hasNew || this.nextAtMs === Infinity) {
      this.nextAtMs = nowMs + INITIAL_INTERVAL_MS;
      this.rounds = 0;
    }
  }

  /** Selects peers that know evacuations, or else one after the other. */
  private select(peers: readonly string[], round: number): readonly string[] {
    const tellers = peers.filter(peer => this.tellers.has(peer));
    const asked = tellers.length > 0 && round % 2 === 0 ? tellers : peers;
    const from = (round * PEERS_PER_QUERY) % asked.length;
    return [...asked.slice(from), ...asked.slice(0, from)].slice(
      0,
      PEERS_PER_QUERY,
    );
  }
}
