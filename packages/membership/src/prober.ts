import {MemberClaim} from '@parsleywood/schema/membership';
import type {Probe} from './probe.js';
import type {MemberRecord} from './member_record.js';
import type {MemberTable} from './member_table.js';
import type {MembershipSettings} from './membership_settings.js';
import {chooseRingTargets} from './choose_ring_targets.js';
import type {Random} from './random.js';

const RING_TARGET_COUNT = 2;
const MAX_SILENT_TARGETS = 8;
const MIN_FAILED_ROUNDS = 2;
const MAX_PROBE_ID = 0x7fff_ffff;

interface SilentPeriod {
  readonly sinceMs: number;
  readonly failedRounds: number;
}

/** Chooses the probe targets of each round and tracks unanswered probes. */
export class Prober {
  private readonly probes = new Map<number, Probe>();
  private readonly silentHosts = new Map<string, SilentPeriod>();
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

  /** Ends the previous round; returns the hosts to suspect. */
  closeRound(nowMs: number): {record: MemberRecord; sinceMs: number}[] {
    for (const probe of this.probes.values()) this.closeProbe(probe, nowMs);
    const suspects = [];
    for (const [host, silence] of this.silentHosts) {
      const record = this.table.get(host);
      if (
        record === undefined ||
        record.claim >= MemberClaim.MEMBER_CLAIM_DEAD
      ) {
        this.silentHosts.delete(host);
      } else if (this.isSuspect(silence, nowMs)) {
        suspects.push({record, sinceMs: silence.sinceMs});
      }
    }
    return suspects;
  }

  /** Starts the probes of a new round. */
  openRound(failureDomain: string, nowMs: number): Probe[] {
    const targets = new Set(this.getRingTargets(failureDomain));
    const rotationTarget = this.takeRotationTarget();
    if (rotationTarget !== undefined) targets.add(rotationTarget);
    for (const host of this.chooseSilentTargets()) targets.add(host);
    return [...targets].map(host => this.startProbe(host, nowMs));
  }

  /** Returns the unanswered probes that peers should now repeat indirectly. */
  takeIndirectProbes(sentBeforeMs: number): Probe[] {
    const due: Probe[] = [];
    for (const probe of this.probes.values()) {
      if (probe.closed || probe.indirectRequested || probe.relay) continue;
      if (probe.sentMs > sentBeforeMs) continue;
      probe.indirectRequested = true;
      if (this.isLive(probe.target)) due.push(probe);
    }
    return due;
  }

  /** Starts a probe on behalf of a peer. */
  startRelayedProbe(
    target: string,
    requester: string,
    requesterProbeId: number,
    nowMs: number,
  ): Probe {
    return this.startProbe(target, nowMs, {
      requester,
      probeId: requesterProbeId,
    });
  }

  /** Handles an ack; returns its probe if the ack came from the target. */
  handleAck(id: number, target: string, nowMs: number): Probe | undefined {
    const probe = this.probes.get(id);
    if (probe?.target !== target) return undefined;
    this.probes.delete(id);
    this.silentHosts.delete(target);
    const record = this.table.get(target);
    if (record !== undefined) record.lastAckMs = nowMs;
    return probe;
  }

  /** Ignores all unanswered probes so far, after a pause of this process. */
  resetAfterStall(): void {
    for (const probe of this.probes.values()) probe.closed = true;
    this.silentHosts.clear();
  }

  private closeProbe(probe: Probe, nowMs: number): void {
    if (nowMs - probe.sentMs > this.settings.deadAfterMs) {
      this.probes.delete(probe.id);
    }
    if (probe.closed || probe.relay) return;
    probe.closed = true;
    const before = this.silentHosts.get(probe.target);
    this.silentHosts.set(probe.target, {
      sinceMs: before?.sinceMs ?? probe.sentMs,
      failedRounds: (before?.failedRounds ?? 0) + 1,
    });
  }

  private isSuspect(silence: SilentPeriod, nowMs: number): boolean {
    return (
      silence.failedRounds >= MIN_FAILED_ROUNDS &&
      nowMs - silence.sinceMs >= this.settings.suspectAfterMs
    );
  }

  private startProbe(
    target: string,
    sentMs: number,
    relay?: Probe['relay'],
  ): Probe {
    const id = this.nextId;
    this.nextId = (this.nextId + 1) % MAX_PROBE_ID;
    const probe = {
      id,
      target,
      sentMs,
      relay,
      indirectRequested: false,
      closed: false,
    };
    this.probes.set(id, probe);
    return probe;
  }

  private getRingTargets(failureDomain: string): string[] {
    if (this.ringVersion !== this.table.version) {
      this.ringVersion = this.table.version;
      const self = {host: this.self, failureDomain};
      const records = this.table.all();
      this.ring = chooseRingTargets(self, records, RING_TARGET_COUNT);
    }
    return this.ring;
  }

  /** Cycles through all hosts in random order; dead ones may have come back. */
  private takeRotationTarget(): string | undefined {
    if (this.rotation.length === 0) {
      const hosts = [...this.table.all()].map(record => record.host);
      this.rotation = this.random.shuffle(hosts);
    }
    const host = this.rotation.pop();
    return host !== undefined && this.table.get(host) ? host : undefined;
  }

  private chooseSilentTargets(): string[] {
    const chosen = [...this.silentHosts].slice(0, MAX_SILENT_TARGETS);
    for (const [host, silence] of chosen) {
      this.silentHosts.delete(host);
      this.silentHosts.set(host, silence);
    }
    return chosen.map(([host]) => host);
  }

  private isLive(host: string): boolean {
    const record = this.table.get(host);
    return record !== undefined && record.claim < MemberClaim.MEMBER_CLAIM_DEAD;
  }
}
