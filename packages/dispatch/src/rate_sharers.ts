import {hashName} from './hash_name.js';
import type {HeardHost} from './heard_host.js';

/** Time for which a host that fell silent still counts in the choice of owners. */
const SILENCE_MS = 30_000;
/**
 * Time after which the share of a host that fell silent is given up. It is shorter
 * than the time above by more than the hosts of a side differ in when they last heard
 * the others (4.2 s where relays tell of hosts, and an interval of heartbeats), so that
 * one side uses less before the other one has new owners.
 */
const SHARE_SILENCE_MS = 24_000;
/**
 * Time for which a host that fell silent counts in the size of the site. Regions lose
 * each other for an hour now and then.
 */
const MEMORY_MS = 7_200_000;
const MAX_HOSTS = 4_096;

interface Sharer {
  /** When it was last heard, or when this host started where it never was. */
  heardAtMs: number;
  wasHeard: boolean;
  readonly hash: number;
}

/**
 * The hosts that share the rates of upstreams, and their order for each upstream. Load
 * pattern: hosts that start, die, stop and lose each other while upstreams are cold.
 *
 * A host that hears only part of the site counts itself an owner with that part of the
 * probability, and the part uses that part of the rate, so that the parts together use
 * no more than the whole.
 */
export class RateSharers {
  private readonly sharers = new Map<string, Sharer>();
  private hashes: readonly number[] = [];
  private heard = 1;
  /** Number of other hosts that have not been silent for long. */
  private awaited = 0;
  private known = 1;
  private isSharing = true;
  private readonly selfHash: number;

  /**
   * @param self IP:port of this host.
   * @param seeds Other hosts that exist as far as is known.
   */
  constructor(
    private readonly self: string,
    seeds: readonly string[],
    nowMs: number,
  ) {
    this.selfHash = hashName(self);
    for (const seed of seeds) this.record(seed, nowMs, false);
    this.count([], nowMs);
  }

  /** Number of hosts that count in the choice of owners, including this one. */
  get size(): number {
    return this.hashes.length;
  }

  /** Part of the site that this host hears. */
  get share(): number {
    return this.heard / this.known;
  }

  /** Whether no other host has been heard from for long. */
  get isAlone(): boolean {
    return this.awaited === 0;
  }

  /**
   * Applies the hosts that are heard now.
   *
   * @return Whether the shares changed, and whether hosts were heard for the first time.
   */
  update(
    hosts: readonly HeardHost[],
    nowMs: number,
  ): {hasChanged: boolean; hasNewHosts: boolean} {
    const before = this.sharers.size;
    const {hashes, heard, known, isSharing} = this;
    let hasNewHosts = false;
    for (const {address, heardAtMs, isStopping} of hosts) {
      if (address === this.self) this.isSharing = !isStopping;
      else if (isStopping) this.sharers.delete(address);
      else if (this.record(address, heardAtMs, true)) hasNewHosts = true;
    }
    this.count(hosts, nowMs);
    const hasChanged =
      hasNewHosts ||
      before !== this.sharers.size ||
      hashes.length !== this.hashes.length ||
      heard !== this.heard ||
      known !== this.known ||
      isSharing !== this.isSharing ||
      hashes.some((hash, at) => hash !== this.hashes[at]);
    return {hasChanged, hasNewHosts};
  }

  /**
   * Returns the number of owners of each upstream that this host counts.
   *
   * @param most Number of owners of an upstream in the whole site.
   */
  countOwners(most: number): number {
    const owners = Math.min(most, this.known);
    const counted = Math.floor((owners * this.heard) / this.known);
    // Of several parts of a site, one at most has the greater part of the hosts.
    return counted === 0 && this.heard * 2 > this.known ? 1 : counted;
  }

  /**
   * Whether this host is one of the owners of an upstream.
   *
   * @param upstreamHash Hash of the upstream's id.
   */
  isOwner(upstreamHash: number, owners: number): boolean {
    if (!this.isSharing) return false;
    const own = weigh(upstreamHash, this.selfHash);
    let before = 0;
    for (const hash of this.hashes) {
      if (weigh(upstreamHash, hash) <= own) continue;
      before++;
      if (before >= owners) return false;
    }
    return owners > 0;
  }

  /** @return Whether the host was not known. */
  private record(
    address: string,
    heardAtMs: number,
    wasHeard: boolean,
  ): boolean {
    if (address === this.self) return false;
    const known = this.sharers.get(address);
    if (known === undefined) {
      const hash = hashName(address);
      this.sharers.set(address, {heardAtMs, wasHeard, hash});
      return true;
    }
    known.heardAtMs = Math.max(known.heardAtMs, heardAtMs);
    known.wasHeard ||= wasHeard;
    return false;
  }

  private count(hosts: readonly HeardHost[], nowMs: number): void {
    const hashes = this.isSharing ? [this.selfHash] : [];
    let heard = hashes.length;
    let awaited = 0;
    for (const [address, {heardAtMs, wasHeard, hash}] of this.sharers) {
      const silentMs = nowMs - heardAtMs;
      if (silentMs < SHARE_SILENCE_MS) {
        awaited++;
        if (wasHeard) heard++;
      }
      if (silentMs < SILENCE_MS) hashes.push(hash);
      else if (silentMs > MEMORY_MS || this.sharers.size > MAX_HOSTS) {
        this.sharers.delete(address);
      }
    }
    let claimed = 0;
    let stopping = 0;
    for (const {knownHosts, isStopping} of hosts) {
      if (isStopping) stopping++;
      else claimed = Math.max(claimed, knownHosts);
    }
    this.hashes = hashes;
    this.heard = Math.max(1, heard);
    this.awaited = awaited;
    // A host that has just started hears few others, which know of more.
    const remembered = this.sharers.size + (this.isSharing ? 1 : 0);
    this.known = Math.max(1, remembered, claimed - stopping);
  }
}

/** Weight of a host for an upstream in rendezvous hashing. */
function weigh(upstreamHash: number, hostHash: number): number {
  let mixed = Math.imul(upstreamHash ^ hostHash, 0x9e_37_79_b1);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85_eb_ca_6b) + hostHash;
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
