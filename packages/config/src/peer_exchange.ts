import type {
  ConfigurationMessage,
  KeyRevision,
  PublishedValue,
  PublishedValues,
  RevisionDigest,
  ValueRequest,
} from '@parsleywood/schema/configuration';
import type {HeldValues} from './local_values.js';
import {PendingValues} from './pending_requests.js';
import type {ValueGroup} from './value_group.js';

/** What one host tells its peers and asks of them about the held values. */
export class PeerExchange {
  private readonly pendingLatest = new PendingValues();
  private readonly pendingInForce = new PendingValues();

  constructor(
    private readonly groups: readonly ValueGroup[],
    private readonly held: HeldValues,
  ) {}

  /**
   * Formats the digest of what is held.
   *
   * @param ages Milliseconds since the confirmation of each key.
   */
  digest(
    ages: ReadonlyMap<string, number>,
    answerWanted: boolean,
    starting: boolean,
  ): ConfigurationMessage {
    const revisions = [...ages].map(([key, age]) => ({
      key,
      latest: this.held.latestRevision(key),
      inForce: this.held.inForceRevision(key),
      confirmedAgeMs: Number.isFinite(age) ? Math.round(age) : undefined,
    }));
    const value = {revisions, answerWanted, starting};
    return {body: {$case: 'digest', value}};
  }

  /** Asks for what a peer holds that is newer than what is held here. */
  request(
    digest: RevisionDigest,
    nowMs: number,
  ): ConfigurationMessage | undefined {
    const theirs = new Map(digest.revisions.map(entry => [entry.key, entry]));
    const latestKeys = this.pendingLatest.take(
      digest.revisions
        .filter(({key}) => this.follows(key))
        .filter(({key, latest}) => latest > this.held.latestRevision(key))
        .map(({key}) => key),
      nowMs,
    );
    const inForceKeys = this.groups
      .filter(group => this.isWorthAdopting(group, theirs))
      .flatMap(group => this.pendingInForce.take(group.keys, nowMs));
    if (latestKeys.length + inForceKeys.length === 0) return undefined;
    return {body: {$case: 'request', value: {latestKeys, inForceKeys}}};
  }

  /** Whether this host holds anything newer than a peer's digest. */
  knowsMore(digest: RevisionDigest): boolean {
    const theirs = new Map(digest.revisions.map(entry => [entry.key, entry]));
    return this.groups
      .flatMap(group => group.keys)
      .some(key => {
        const {latest = 0, inForce = 0} = theirs.get(key) ?? {};
        return (
          this.held.latestRevision(key) > latest ||
          this.held.inForceRevision(key) > inForce
        );
      });
  }

  /** Answers a request, one message for each latest value and each group. */
  answer(request: ValueRequest): ConfigurationMessage[] {
    const latest = request.latestKeys
      .map(key => this.held.latestOf(key))
      .filter(value => value !== undefined)
      .map(value => wrap({values: [value], inForce: false}));
    const wanted = new Set(request.inForceKeys);
    const inForce = this.groups
      .filter(group => group.keys.some(key => wanted.has(key)))
      .map(group =>
        group.keys
          .map(key => this.held.inForceOf(key))
          .filter(value => value !== undefined),
      )
      .filter(values => values.length > 0)
      .map(values => wrap({values, inForce: true}));
    return [...latest, ...inForce];
  }

  /** Takes the values of an answer that concern this site. */
  receive(answer: PublishedValues): PublishedValue[] {
    const values = answer.values.filter(({key}) => this.follows(key));
    const pending = answer.inForce ? this.pendingInForce : this.pendingLatest;
    for (const {key} of values) pending.settle(key);
    return values;
  }

  isWaiting(nowMs: number): boolean {
    return !(
      this.pendingLatest.isEmpty(nowMs) && this.pendingInForce.isEmpty(nowMs)
    );
  }

  private follows(key: string): boolean {
    return this.groups.some(group => group.keys.includes(key));
  }

  /**
   * Whether a peer has newer values of a group in force that will not come
   * into force here from the latest ones.
   */
  private isWorthAdopting(
    group: ValueGroup,
    theirs: ReadonlyMap<string, KeyRevision>,
  ): boolean {
    const steps = group.keys.map(
      key => (theirs.get(key)?.inForce ?? 0) - this.held.inForceRevision(key),
    );
    if (steps.some(step => step < 0) || steps.every(step => step === 0)) {
      return false;
    }
    return group.keys.some(key => {
      const entry = theirs.get(key);
      const latest = Math.max(
        this.held.latestRevision(key),
        entry?.latest ?? 0,
      );
      return (entry?.inForce ?? 0) < latest;
    });
  }
}

function wrap(value: PublishedValues): ConfigurationMessage {
  return {body: {$case: 'values', value}};
}
