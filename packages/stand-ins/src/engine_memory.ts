import type {KvExport} from './kv_export.js';
import type {PrefixCache} from './prefix_cache.js';
import type {Reservation} from './reservation.js';

/** Accounts for every token of an engine's memory. */
export class EngineMemory {
  private readonly reservations = new Map<string, Reservation>();
  private readonly exports = new Map<string, KvExport>();
  private readonly users = new Map<string, number>();
  private readonly holders = new Map<string, string>();
  private privateTokens = 0;
  private heldTokens = 0;

  constructor(
    readonly capacityTokens: number,
    private readonly blockTokens: number,
    private readonly cache: PrefixCache,
  ) {}

  /** Tokens in the prefix cache, held by streams or not. */
  get cachedTokens(): number {
    return this.cache.size * this.blockTokens;
  }

  /** Tokens in use: streams, cache, reservations and exports. */
  get usedTokens(): number {
    return this.cachedTokens + this.privateTokens + this.heldTokens;
  }

  /** Takes memory for a stream, evicting idle blocks; false without room. */
  take(tokens: number): boolean {
    if (!this.makeRoom(tokens)) return false;
    this.privateTokens += tokens;
    return true;
  }

  /** Returns a stream's memory. */
  give(tokens: number): void {
    this.privateTokens -= tokens;
  }

  /** Makes, or renews, a reservation; false without room or of another owner. */
  reserve(reservation: Reservation): boolean {
    const earlier = this.reservations.get(reservation.id);
    if (earlier && earlier.owner !== reservation.owner) return false;
    const more = reservation.tokens - (earlier?.tokens ?? 0);
    if (!this.makeRoom(Math.max(0, more))) return false;
    this.heldTokens += more;
    this.reservations.set(reservation.id, reservation);
    return true;
  }

  /** Reads a reservation. */
  readReservation(id: string): Reservation | undefined {
    return this.reservations.get(id);
  }

  /** Ends a reservation, once the stream that uses it has ended. */
  release(id: string): boolean {
    const reservation = this.reservations.get(id);
    if (!reservation) return false;
    if (this.users.has(id)) {
      this.reservations.set(id, {...reservation, expiresAtMs: 0});
      return true;
    }
    this.reservations.delete(id);
    this.heldTokens -= reservation.tokens;
    return true;
  }

  /** Keeps a reservation for a stream. */
  beginUse(id: string): void {
    this.users.set(id, (this.users.get(id) ?? 0) + 1);
  }

  /** Gives a reservation's memory to one stream; 0 when another one has it. */
  claim(id: string, attempt: string): number {
    const holder = this.holders.get(id);
    const reservation = this.reservations.get(id);
    if (!reservation || (holder ?? attempt) !== attempt) return 0;
    this.holders.set(id, attempt);
    return reservation.tokens;
  }

  /** Takes a reservation's memory back from a stream. */
  unclaim(id: string, attempt: string): void {
    if (this.holders.get(id) === attempt) this.holders.delete(id);
  }

  /** Ends a stream's use of a reservation. */
  endUse(id: string, attempt: string, nowMs: number): void {
    this.unclaim(id, attempt);
    const users = (this.users.get(id) ?? 1) - 1;
    if (users > 0) this.users.set(id, users);
    else this.users.delete(id);
    this.expire(nowMs);
  }

  /** Ends the reservations whose time has passed. */
  expire(nowMs: number): void {
    for (const {id, expiresAtMs} of [...this.reservations.values()]) {
      if (expiresAtMs <= nowMs && !this.users.has(id)) this.release(id);
    }
  }

  /** Virtual time at which the next reservation ends, in milliseconds. */
  expiresAtMs(): number {
    let earliestMs = Infinity;
    for (const {id, expiresAtMs} of this.reservations.values()) {
      if (!this.users.has(id)) earliestMs = Math.min(earliestMs, expiresAtMs);
    }
    return earliestMs;
  }

  /** Holds memory for an export; false without room. */
  addExport(kvExport: KvExport): boolean {
    if (!this.makeRoom(kvExport.tokens)) return false;
    this.heldTokens += kvExport.tokens;
    this.exports.set(kvExport.id, kvExport);
    return true;
  }

  /** Reads an export. */
  readExport(id: string): KvExport | undefined {
    return this.exports.get(id);
  }

  /** Returns an export's memory. */
  deleteExport(id: string): boolean {
    const kvExport = this.exports.get(id);
    if (!kvExport) return false;
    this.heldTokens -= kvExport.tokens;
    return this.exports.delete(id);
  }

  /** Lists the reservations. */
  listReservations(): Reservation[] {
    return [...this.reservations.values()];
  }

  /** Lists the exports. */
  listExports(): KvExport[] {
    return [...this.exports.values()];
  }

  /** Evicts idle blocks until so many tokens are free; false if they never are. */
  makeRoom(tokens: number): boolean {
    const free = this.capacityTokens - this.usedTokens;
    if (free + this.cache.idleSize * this.blockTokens < tokens) return false;
    while (this.capacityTokens - this.usedTokens < tokens) {
      this.cache.evictOldest();
    }
    return true;
  }
}
