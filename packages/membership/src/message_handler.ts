import {
  MemberClaim,
  type MemberUpdate,
  type MembershipMessage,
} from '@parsleywood/schema/membership';
import {compareIncarnations} from './compare_incarnations.js';
import {describeRecord} from './describe_record.js';
import type {HostListStore} from './host_list_store.js';
import type {MemberRecord} from './member_record.js';
import type {MemberTable} from './member_table.js';
import type {MembershipAction} from './membership_action.js';
import type {MembershipSettings} from './membership_settings.js';
import type {Messenger} from './messenger.js';
import type {Prober} from './prober.js';
import type {SelfStatus} from './self_status.js';
import type {Synchronizer} from './synchronizer.js';

interface Parts {
  readonly self: SelfStatus;
  readonly table: MemberTable;
  readonly hostLists: HostListStore;
  readonly prober: Prober;
  readonly messenger: Messenger;
  readonly synchronizer: Synchronizer;
  readonly settings: MembershipSettings;
}

/** Processes messages from peers and builds the replies. */
export class MessageHandler {
  constructor(private readonly parts: Parts) {}

  /** Processes one message; a superseded sender is told to stop. */
  handleMessage(
    from: string,
    incarnation: string,
    message: MembershipMessage,
    nowMs: number,
  ): MembershipAction[] {
    const known = this.parts.table.get(from);
    if (known && compareIncarnations(incarnation, known.incarnation) < 0) {
      return this.notifySuperseded(known, message.address, nowMs);
    }
    const header = describeSender(from, incarnation, message);
    const actions: MembershipAction[] = [];
    for (const update of [header, ...message.updates]) {
      actions.push(...this.handleUpdate(update, nowMs));
    }
    const {messenger} = this.parts;
    actions.push(...messenger.receiveUpstreamNews(message, from, nowMs));
    actions.push(...this.handleBody(header, message, nowMs));
    actions.push(...this.sendHostList(from, message, nowMs));
    return actions;
  }

  /** Marks a host as leaving because it refused new work. */
  handleRefusal(
    host: string,
    incarnation: string,
    nowMs: number,
  ): MembershipAction[] {
    const record = this.parts.table.get(host);
    if (record === undefined) return [];
    const {refutation, claim} = record;
    const known = record.incarnation === incarnation;
    return this.handleUpdate(
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

  /** Tells an incarnation that was replaced while paused to exit. */
  private notifySuperseded(
    currentRecord: MemberRecord,
    address: string,
    nowMs: number,
  ): MembershipAction[] {
    const update = describeRecord(currentRecord, nowMs);
    return this.parts.messenger.buildMessageTo(address, currentRecord.host, [
      update,
    ]);
  }

  private handleBody(
    sender: MemberUpdate,
    message: MembershipMessage,
    nowMs: number,
  ): MembershipAction[] {
    const {body, address} = message;
    const from = sender.host;
    switch (body?.$case) {
      case 'ping': {
        const ack = {$case: 'ack' as const, value: {probe: body.value.probe}};
        return this.parts.messenger.buildMessage(from, nowMs, ack, [], address);
      }
      case 'pingRequest': {
        const {target, probe} = body.value;
        const relay = this.parts.prober.startRelayedProbe(
          target,
          from,
          probe,
          nowMs,
        );
        return this.parts.messenger.buildPing(relay, nowMs);
      }
      case 'ack':
        return this.handleAck(body.value.probe, sender, nowMs);
      case 'relayedAck': {
        const {probe, target} = body.value;
        if (target === undefined) return [];
        const refuted = this.handleUpdate(target, nowMs);
        return [...refuted, ...this.handleAck(probe, target, nowMs)];
      }
      case 'syncQuery':
        return this.parts.synchronizer.answerQuery(
          from,
          body.value,
          address,
          nowMs,
        );
      case 'syncState': {
        const {members, answer} = body.value;
        const actions = members.flatMap(m => this.handleSyncEntry(m, nowMs));
        const missingOrOutdated = this.parts.synchronizer.handleTable(
          from,
          members,
          answer,
          nowMs,
        );
        return [...actions, ...missingOrOutdated];
      }
      default:
        return [];
    }
  }

  private handleAck(
    id: number,
    target: MemberUpdate,
    nowMs: number,
  ): MembershipAction[] {
    const probe = this.parts.prober.handleAck(id, target.host, nowMs);
    if (probe?.relay === undefined) return [];
    const {requester, probeId: requesterProbeId} = probe.relay;
    const value = {probe: requesterProbeId, target};
    return this.parts.messenger.buildMessage(requester, nowMs, {
      $case: 'relayedAck',
      value,
    });
  }

  private handleUpdate(
    update: MemberUpdate,
    nowMs: number,
  ): MembershipAction[] {
    if (update.host === this.parts.self.incarnation.host) {
      const actions = this.parts.self.handleUpdate(update);
      if (this.parts.self.takeChange()) this.parts.messenger.queue(update.host);
      return actions;
    }
    if (this.contradictsOwnAck(update, nowMs)) {
      return this.parts.messenger.buildMessage(update.host, nowMs, undefined, [
        update,
      ]);
    }
    const death = this.describeRefutedDeath(update, nowMs);
    if (!this.parts.table.applyUpdate(update, nowMs)) return [];
    this.parts.messenger.queue(update.host);
    if (death === undefined) return [];
    return this.parts.messenger.buildMessage(update.host, nowMs, undefined, [
      death,
    ]);
  }

  /**
   * Applies an entry of a peer's full table. The first known incarnation of a
   * host is not gossiped: it is new to this host only.
   */
  private handleSyncEntry(
    update: MemberUpdate,
    nowMs: number,
  ): MembershipAction[] {
    const {table} = this.parts;
    const isFirst = table.get(update.host)?.incarnation === '';
    if (!isFirst) return this.handleUpdate(update, nowMs);
    table.applyUpdate(update, nowMs);
    return [];
  }

  /**
   * Returns the death claim that an update refutes. The incarnation has to
   * learn that it was declared dead.
   */
  private describeRefutedDeath(
    update: MemberUpdate,
    nowMs: number,
  ): MemberUpdate | undefined {
    const record = this.parts.table.get(update.host);
    if (record?.incarnation !== update.incarnation) return undefined;
    if (record.claim !== MemberClaim.MEMBER_CLAIM_DEAD) return undefined;
    if (record.refutation >= update.refutation) return undefined;
    return describeRecord(record, nowMs);
  }

  /** Whether this host got an ack from the target after the claimed silence. */
  private contradictsOwnAck(update: MemberUpdate, nowMs: number): boolean {
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

  private sendHostList(
    to: string,
    message: MembershipMessage,
    nowMs: number,
  ): MembershipAction[] {
    const list = this.parts.hostLists.takeMessageFor(
      message.listRevision,
      nowMs,
    );
    if (list === undefined) return [];
    const body = {$case: 'publishedHosts' as const, value: list};
    return this.parts.messenger.buildMessage(
      to,
      nowMs,
      body,
      [],
      message.address,
    );
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
