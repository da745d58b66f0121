import {
  MemberClaim,
  type MemberUpdate,
  type MembershipMessage,
} from '@parsleywood/schema/membership';
import {compareIncarnations} from './compare_incarnations.js';
import {describeRecord} from './describe_record.js';
import type {ListHolder} from './host_list_store.js';
import type {MemberRecord} from './member_record.js';
import type {MemberTable} from './member_table.js';
import type {MembershipAction} from './membership_action.js';
import type {MembershipSettings} from './membership_settings.js';
import type {Messenger} from './messenger.js';
import type {Prober} from './prober.js';
import type {SelfClaim} from './self_status.js';
import type {Synchronizer} from './synchronizer.js';

interface Parts {
  readonly self: SelfClaim;
  readonly table: MemberTable;
  readonly lists: ListHolder;
  readonly prober: Prober;
  readonly messenger: Messenger;
  readonly synchronizer: Synchronizer;
  readonly settings: MembershipSettings;
}

/** Takes what peers say and answers them. */
export class Receiver {
  constructor(private readonly parts: Parts) {}

  /** Takes one message of a peer's incarnation. */
  take(
    from: string,
    incarnation: string,
    message: MembershipMessage,
    nowMs: number,
  ): MembershipAction[] {
    const known = this.parts.table.get(from);
    if (known && compareIncarnations(incarnation, known.incarnation) < 0) {
      return this.tellSuperseded(known, message.address, nowMs);
    }
    const header = describeSender(from, incarnation, message);
    const actions: MembershipAction[] = [];
    for (const update of [header, ...message.updates]) {
      actions.push(...this.takeUpdate(update, nowMs));
    }
    const {messenger} = this.parts;
    actions.push(...messenger.hearUpstreams(message, from, nowMs));
    actions.push(...this.takeBody(header, message, nowMs));
    actions.push(...this.sendList(from, message, nowMs));
    return actions;
  }

  /** Takes a host's refusal of new work as its word that it is leaving. */
  refuse(host: string, incarnation: string, nowMs: number): MembershipAction[] {
    const record = this.parts.table.get(host);
    if (record === undefined) return [];
    const {refutation, claim} = record;
    const known = record.incarnation === incarnation;
    return this.takeUpdate(
      {
        host,
        incarnation,
        refutation: known ? refutation : 0,
        claim: known ? claim : MemberClaim.MEMBER_CLAIM_ALIVE,
        leaving: true,
        silentMs: Math.max(0, nowMs - record.silentSinceMs),
      },
      nowMs,
    );
  }

  /** An incarnation that was replaced while it was paused has to end. */
  private tellSuperseded(
    later: MemberRecord,
    address: string,
    nowMs: number,
  ): MembershipAction[] {
    const update = describeRecord(later, nowMs);
    return this.parts.messenger.sendAt(address, later.host, [update]);
  }

  private takeBody(
    sender: MemberUpdate,
    message: MembershipMessage,
    nowMs: number,
  ): MembershipAction[] {
    const {body, address} = message;
    const from = sender.host;
    switch (body?.$case) {
      case 'ping': {
        const ack = {$case: 'ack' as const, value: {probe: body.value.probe}};
        return this.parts.messenger.send(from, nowMs, ack, [], address);
      }
      case 'pingRequest': {
        const {target, probe} = body.value;
        const relay = this.parts.prober.startRelay(target, from, probe, nowMs);
        return this.parts.messenger.ping(relay, nowMs);
      }
      case 'ack':
        return this.takeAnswer(body.value.probe, sender, nowMs);
      case 'relayedAck': {
        const {probe, target} = body.value;
        if (target === undefined) return [];
        const refuted = this.takeUpdate(target, nowMs);
        return [...refuted, ...this.takeAnswer(probe, target, nowMs)];
      }
      case 'syncQuery':
        return this.parts.synchronizer.answer(from, body.value, address, nowMs);
      case 'syncState': {
        const {members, answer} = body.value;
        const actions = members.flatMap(m => this.takeCopy(m, nowMs));
        const better = this.parts.synchronizer.take(
          from,
          members,
          answer,
          nowMs,
        );
        return [...actions, ...better];
      }
      default:
        return [];
    }
  }

  private takeAnswer(
    id: number,
    target: MemberUpdate,
    nowMs: number,
  ): MembershipAction[] {
    const probe = this.parts.prober.takeAnswer(id, target.host, nowMs);
    if (probe?.relay === undefined) return [];
    const {to, probe: asked} = probe.relay;
    const value = {probe: asked, target};
    return this.parts.messenger.send(to, nowMs, {$case: 'relayedAck', value});
  }

  private takeUpdate(update: MemberUpdate, nowMs: number): MembershipAction[] {
    if (update.host === this.parts.self.incarnation.host) {
      const actions = this.parts.self.hear(update);
      if (this.parts.self.takeNews()) this.parts.messenger.spread(update.host);
      return actions;
    }
    if (this.contradicts(update, nowMs)) {
      return this.parts.messenger.send(update.host, nowMs, undefined, [update]);
    }
    const death = this.describeDeath(update, nowMs);
    if (!this.parts.table.apply(update, nowMs)) return [];
    this.parts.messenger.spread(update.host);
    if (death === undefined) return [];
    return this.parts.messenger.send(update.host, nowMs, undefined, [death]);
  }

  /** Takes an entry of a whole table; a first contact is no news to spread. */
  private takeCopy(update: MemberUpdate, nowMs: number): MembershipAction[] {
    const {table} = this.parts;
    const isFirst = table.get(update.host)?.incarnation === '';
    if (!isFirst) return this.takeUpdate(update, nowMs);
    table.apply(update, nowMs);
    return [];
  }

  /** What a refuted death was: its incarnation has to learn of it. */
  private describeDeath(
    update: MemberUpdate,
    nowMs: number,
  ): MemberUpdate | undefined {
    const record = this.parts.table.get(update.host);
    if (record?.incarnation !== update.incarnation) return undefined;
    if (record.claim !== MemberClaim.MEMBER_CLAIM_DEAD) return undefined;
    if (record.refutation >= update.refutation) return undefined;
    return describeRecord(record, nowMs);
  }

  /** Whether this host heard the target itself after the claimed silence. */
  private contradicts(update: MemberUpdate, nowMs: number): boolean {
    const record = this.parts.table.get(update.host);
    if (record?.incarnation !== update.incarnation) return false;
    if (record.refutation !== update.refutation) return false;
    if (record.claim !== MemberClaim.MEMBER_CLAIM_ALIVE) return false;
    const {suspectAfterMs} = this.parts.settings;
    switch (update.claim) {
      case MemberClaim.MEMBER_CLAIM_SUSPECTED:
        return record.lastAckMs > nowMs - update.silentMs;
      case MemberClaim.MEMBER_CLAIM_DEAD:
        return record.lastAckMs > nowMs - suspectAfterMs;
      default:
        return false;
    }
  }

  private sendList(
    to: string,
    message: MembershipMessage,
    nowMs: number,
  ): MembershipAction[] {
    const copy = this.parts.lists.takeCopy(message.listRevision, nowMs);
    if (copy === undefined) return [];
    const body = {$case: 'publishedHosts' as const, value: copy};
    return this.parts.messenger.send(to, nowMs, body, [], message.address);
  }
}

function describeSender(
  host: string,
  incarnation: string,
  message: MembershipMessage,
): MemberUpdate {
  const {refutation, leaving} = message;
  const claim = MemberClaim.MEMBER_CLAIM_ALIVE;
  return {host, incarnation, refutation, claim, leaving, silentMs: 0};
}
