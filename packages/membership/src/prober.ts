import {MemberClaim} from '@parsleywood/schema/membership';
import type {Probe} from './probe.js';
import type {MemberRecord} from './member_record.js';
import type {MemberTable} from './member_table.js';
import type {MembershipSettings} from './membership_settings.js';
import {chooseRingTargets} from './choose_ring_targets.js';
import type {Random} from './random.js';

const RING_TARGETS = 2;
const MAX_REPEATED_TARGETS = 8;
const MIN_FAILED_ROUNDS = 2;
const MAX_PROBE_ID = 0x7fff_ffff;

interface Silence {
  readonly sinceMs: number;
  readonly rounds: number;
}

/** Chooses whom to ping in each round and counts who stays silent. */
export class Prober {
  private readonly probes = new Map<number, Probe>();
  private readonly silent = new Map<string, Silence>();
  private rotation: string[] = [];
  private ring: string[] = [];
  private ringVersion = -1;
  private nextId: number;

  constructor(
    private readonly self: string,
    private readonly table: MemberTable,
    private readonly settings: MembershipSettings,
    private readonly random: Random,
  ) {
    this.nextId = random.drawBelow(MAX_PROBE_ID);
  }

  /** Ends the last round; gives the records to suspect, with their silence. */
  closeRound(nowMs: number): {record: MemberRecord; sinceMs: number}[] {
    for (const probe of this.probes.values()) this.closeProbe(probe, nowMs);
    const suspects = [];
    for (const [host, silence] of this.silent) {
      const record = this.table.get(host);
      if (
        record === undefined ||
        record.claim >= MemberClaim.MEMBER_CLAIM_DEAD
      ) {
        this.silent.delete(host);
      } else if (this.isSuspect(silence, nowMs)) {
        suspects.push({record, sinceMs: silence.sinceMs});
      }
    }
    return suspects;
  }

  /** Starts the pings of a new round. */
  openRound(failureDomain: string, nowMs: number): Probe[] {
    const targets = new Set(this.chooseRing(failureDomain));
    const rotated = this.rotate();
    if (rotated !== undefined) targets.add(rotated);
    for (const host of this.chooseSilent()) targets.add(host);
    return [...targets].map(host => this.start(host, nowMs));
  }

  /** Gives the unanswered pings that are due for help of peers. */
  takeIndirect(sentBeforeMs: number): Probe[] {
    const due: Probe[] = [];
    for (const probe of this.probes.values()) {
      if (probe.closed || probe.indirect || probe.relay) continue;
      if (probe.sentMs > sentBeforeMs) continue;
      probe.indirect = true;
      if (this.isLive(probe.target)) due.push(probe);
    }
    return due;
  }

  /** Starts a ping on a peer's behalf. */
  startRelay(target: string, to: string, id: number, nowMs: number): Probe {
    return this.start(target, nowMs, {to, probe: id});
  }

  /** Takes an answer; gives the probe if its target sent it. */
  takeAnswer(id: number, target: string, nowMs: number): Probe | undefined {
    const probe = this.probes.get(id);
    if (probe?.target !== target) return undefined;
    this.probes.delete(id);
    this.silent.delete(target);
    const record = this.table.get(target);
    if (record !== undefined) record.lastAckMs = nowMs;
    return probe;
  }

  /** Forgets what was silent while this process was paused itself. */
  forgive(): void {
    for (const probe of this.probes.values()) probe.closed = true;
    this.silent.clear();
  }

  private closeProbe(probe: Probe, nowMs: number): void {
    if (nowMs - probe.sentMs > this.settings.deadAfterMs) {
      this.probes.delete(probe.id);
    }
    if (probe.closed || probe.relay) return;
    probe.closed = true;
    const before = this.silent.get(probe.target);
    this.silent.set(probe.target, {
      sinceMs: before?.sinceMs ?? probe.sentMs,
      rounds: (before?.rounds ?? 0) + 1,
    });
  }

  private isSuspect(silence: Silence, nowMs: number): boolean {
    return (
      silence.rounds >= MIN_FAILED_ROUNDS &&
      nowMs - silence.sinceMs >= this.settings.suspectAfterMs
    );
  }

  private start(target: string, sentMs: number, relay?: Probe['relay']): Probe {
    const id = this.nextId;
    this.nextId = (this.nextId + 1) % MAX_PROBE_ID;
    const probe = {id, target, sentMs, relay, indirect: false, closed: false};
    this.probes.set(id, probe);
    return probe;
  }

  private chooseRing(failureDomain: string): string[] {
    if (this.ringVersion !== this.table.changes) {
      this.ringVersion = this.table.changes;
      const self = {host: this.self, failureDomain};
      const records = this.table.all();
      this.ring = chooseRingTargets(self, records, RING_TARGETS);
    }
    return this.ring;
  }

  /** Goes through all hosts in random order, dead ones too: they may return. */
  private rotate(): string | undefined {
    if (this.rotation.length === 0) {
      const hosts = [...this.table.all()].map(record => record.host);
      this.rotation = this.random.shuffle(hosts);
    }
    const host = this.rotation.pop();
    return host !== undefined && this.table.get(host) ? host : undefined;
  }

  private chooseSilent(): string[] {
    const chosen = [...this.silent].slice(0, MAX_REPEATED_TARGETS);
    for (const [host, silence] of chosen) {
      this.silent.delete(host);
      this.silent.set(host, silence);
    }
    return chosen.map(([host]) => host);
  }

  private isLive(host: string): boolean {
    const record = this.table.get(host);
    return record !== undefined && record.claim < MemberClaim.MEMBER_CLAIM_DEAD;
  }
}
