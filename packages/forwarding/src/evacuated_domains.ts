import {comparePositions} from './compare_positions.js';
import type {HeldEvacuation} from './held_evacuation.js';
import type {StorePosition} from './store_position.js';

/** Longest time over which new placements move away from an evacuated domain. */
const MAX_MOVE_MS = 2_000;
/**
 * Part of the bound that is left for the change to reach all hosts: a watch of a slow
 * store, the delay between two watches and a relay.
 */
const PROPAGATION_MS = 3_000;
/**
 * How long an evacuation stays in force that a copy of the store does not have.
 * Operators write what the copy lacks again within this time.
 */
const HOLD_MS = 10_000;
const DEFAULT_BOUND_MS = 5_000;

interface Evacuation {
  /** When this host learned of it. */
  readonly learnedAtMs: number;
  /** Start of the gradual move; -Infinity where there is none. */
  readonly movesFromMs: number;
  /** State of the store that is known to have it. */
  readonly listedAt: StorePosition;
  /** Infinity unless it is missing from a copy of the store. */
  readonly untilMs: number;
}

/**
 * Failure domains to whose upstreams nothing new is to be sent. Load pattern: a domain
 * is emptied under full load, and its traffic moves to upstreams that may be cold.
 *
 * The position up to which evacuations are known may lie behind that of the other
 * published state, as hosts of earlier versions pass on changes without them.
 */
export class EvacuatedDomains {
  private readonly byDomain = new Map<string, Evacuation>();
  private readonly moveMs: number;
  private knownTo: StorePosition = {epoch: 0, revision: 0};

  /**
   * @param boundMs Time after which nothing more may reach an evacuated domain.
   */
  constructor(boundMs = DEFAULT_BOUND_MS) {
    this.moveMs = Math.max(0, Math.min(MAX_MOVE_MS, boundMs - PROPAGATION_MS));
  }

  /** State of the store up to which all evacuations are known. */
  get position(): StorePosition {
    return this.knownTo;
  }

  /** Replaces the domains by a list of the store; new ones are in force at once. */
  replace(
    domains: readonly string[],
    position: StorePosition,
    nowMs: number,
  ): void {
    for (const domain of this.listMissing(domains, position)) {
      if (this.byDomain.get(domain)?.untilMs === Infinity) this.remove(domain);
    }
    this.addAll(domains, position, nowMs);
  }

  /** Replaces the domains by the list of a store that came back from a copy. */
  rebase(
    domains: readonly string[],
    position: StorePosition,
    nowMs: number,
  ): void {
    for (const domain of this.listMissing(domains, position)) {
      const known = this.byDomain.get(domain);
      if (known === undefined) continue;
      const untilMs = Math.min(known.untilMs, nowMs + HOLD_MS);
      this.byDomain.set(domain, {...known, untilMs});
    }
    this.addAll(domains, position, nowMs);
  }

  /**
   * Adds a domain; one that is in force already keeps its progress.
   *
   * @param ageMs Time since the store confirmed it, at most; Infinity if that is not
   *     known, so that it is in force at once.
   */
  add(
    domain: string,
    position: StorePosition,
    ageMs: number,
    nowMs: number,
  ): void {
    const known = this.findInForce(domain, nowMs);
    const {learnedAtMs = nowMs, movesFromMs = Infinity} = known ?? {};
    const isLater =
      known === undefined || comparePositions(position, known.listedAt) > 0;
    this.byDomain.set(domain, {
      learnedAtMs,
      movesFromMs: Math.min(movesFromMs, nowMs - ageMs),
      listedAt: isLater ? position : known.listedAt,
      untilMs: Infinity,
    });
  }

  /** Adds evacuations that a copy of the store lacks, as another host knows them. */
  hold(held: readonly HeldEvacuation[], nowMs: number): void {
    for (const {failureDomain, leftMs} of held) {
      if (this.findInForce(failureDomain, nowMs)) continue;
      this.byDomain.set(failureDomain, {
        learnedAtMs: nowMs,
        movesFromMs: -Infinity,
        listedAt: this.knownTo,
        untilMs: nowMs + Math.min(leftMs, HOLD_MS),
      });
    }
  }

  /** Lists the evacuations in force that a copy of the store lacks. */
  listHeld(nowMs: number): HeldEvacuation[] {
    return [...this.byDomain]
      .map(([failureDomain, {untilMs}]) => ({
        failureDomain,
        leftMs: untilMs - nowMs,
      }))
      .filter(({leftMs}) => leftMs > 0 && leftMs < Infinity);
  }

  remove(domain: string): void {
    this.byDomain.delete(domain);
  }

  /** Records that all evacuations up to a state of the store have been applied. */
  advance({epoch, revision}: StorePosition): void {
    if (comparePositions({epoch, revision}, this.knownTo) <= 0) return;
    this.knownTo = {epoch, revision};
  }

  /** Lists the domains that the store has, in the order in which they were added. */
  list(): string[] {
    return [...this.byDomain]
      .filter(([, {untilMs}]) => untilMs === Infinity)
      .map(([domain]) => domain);
  }

  /** Lists the domains in force, also those that a copy of the store lacks. */
  listInForce(nowMs: number): string[] {
    return [...this.byDomain.keys()].filter(domain =>
      this.findInForce(domain, nowMs),
    );
  }

  /** Share of new placements that may still go to a domain: 1 if not evacuated. */
  getShare(domain: string, nowMs: number): number {
    const known = this.findInForce(domain, nowMs);
    if (known === undefined) return 1;
    if (this.moveMs === 0) return 0;
    return Math.max(0, 1 - (nowMs - known.movesFromMs) / this.moveMs);
  }

  /** Time since the gradual move from a domain began; Infinity where there is none. */
  getMoveAgeMs(domain: string, nowMs: number): number {
    return nowMs - (this.byDomain.get(domain)?.movesFromMs ?? -Infinity);
  }

  /** Time since this host learned of an evacuation; 0 if there is none. */
  getAgeMs(domain: string, nowMs: number): number {
    return nowMs - (this.byDomain.get(domain)?.learnedAtMs ?? nowMs);
  }

  private addAll(
    domains: readonly string[],
    position: StorePosition,
    nowMs: number,
  ): void {
    for (const domain of domains) this.add(domain, position, Infinity, nowMs);
    this.advance(position);
  }

  /** Lists the domains that a list lacks and that were not added after it. */
  private listMissing(
    domains: readonly string[],
    position: StorePosition,
  ): string[] {
    const listed = new Set(domains);
    return [...this.byDomain]
      .filter(([, {listedAt}]) => comparePositions(listedAt, position) <= 0)
      .map(([domain]) => domain)
      .filter(domain => !listed.has(domain));
  }

  private findInForce(domain: string, nowMs: number): Evacuation | undefined {
    const known = this.byDomain.get(domain);
    return known !== undefined && known.untilMs > nowMs ? known : undefined;
  }
}
