import type {
  ConfigurationMessage,
  KeyRevision,
  PublishedValue,
  PublishedValues,
  RevisionDigest,
  ValueRequest,
} from '@parsleywood/schema/configuration';
import type {LocalValues} from './local_values.js';
import {PendingRequests} from './pending_requests.js';
import type {ValueGroup} from './value_group.js';

/**
 * Builds and evaluates the messages by which hosts exchange published values.
 */
export class PeerExchange {
  private readonly pendingLatest = new PendingRequests();
  private readonly pendingActive = new PendingRequests();

  constructor(
    private readonly groups: readonly ValueGroup[],
    private readonly local: LocalValues,
  ) {}

  /**
   * Creates the digest of the revisions that this host holds.
   *
   * @param ages Milliseconds since the service last confirmed each key.
   */
  createDigest(
    ages: ReadonlyMap<string, number>,
    answerWanted: boolean,
    starting: boolean,
  ): ConfigurationMessage {
    const revisions = [...ages].map(([key, age]) => ({
      key,
      latest: this.local.latestRevision(key),
      inForce: this.local.activeRevision(key),
      confirmedAgeMs: Number.isFinite(age) ? Math.round(age) : undefined,
    }));
    const value = {revisions, answerWanted, starting};
    return {body: {$case: 'digest', value}};
  }

  /**
   * Requests the values that are newer at a peer than here; undefined if none.
   */
  createRequest(
    digest: RevisionDigest,
    nowMs: number,
  ): ConfigurationMessage | undefined {
    const peerRevisions = new Map(
      digest.revisions.map(entry => [entry.key, entry]),
    );
    const latestKeys = this.pendingLatest.startRequests(
      digest.revisions
        .filter(({key}) => this.follows(key))
        .filter(({key, latest}) => latest > this.local.latestRevision(key))
        .map(({key}) => key),
      nowMs,
    );
    const inForceKeys = this.groups
      .filter(group => this.shouldRequestActive(group, peerRevisions))
      .flatMap(group => this.pendingActive.startRequests(group.keys, nowMs));
    if (latestKeys.length + inForceKeys.length === 0) return undefined;
    return {body: {$case: 'request', value: {latestKeys, inForceKeys}}};
  }

  /** Whether this host holds a newer revision than a peer's digest lists. */
  holdsNewer(digest: RevisionDigest): boolean {
    const peerRevisions = new Map(
      digest.revisions.map(entry => [entry.key, entry]),
    );
    return this.groups
      .flatMap(group => group.keys)
      .some(key => {
        const {latest = 0, inForce = 0} = peerRevisions.get(key) ?? {};
        return (
          this.local.latestRevision(key) > latest ||
          this.local.activeRevision(key) > inForce
        );
      });
  }

  /**
   * Answers a request: a message per latest value, and one per active group.
   */
  answerRequest(request: ValueRequest): ConfigurationMessage[] {
    const latestMessages = request.latestKeys
      .map(key => this.local.findLatest(key))
      .filter(value => value !== undefined)
      .map(value => createValuesMessage({values: [value], inForce: false}));
    const wantedKeys = new Set(request.inForceKeys);
    const activeMessages = this.groups
      .filter(group => group.keys.some(key => wantedKeys.has(key)))
      .map(group =>
        group.keys
          .map(key => this.local.findActive(key))
          .filter(value => value !== undefined),
      )
      .filter(values => values.length > 0)
      .map(values => createValuesMessage({values, inForce: true}));
    return [...latestMessages, ...activeMessages];
  }

  /**
   * Closes the requests that an answer settles; returns the values of this
   * site.
   */
  acceptAnswer(answer: PublishedValues): PublishedValue[] {
    const values = answer.values.filter(({key}) => this.follows(key));
    const pending = answer.inForce ? this.pendingActive : this.pendingLatest;
    for (const {key} of values) pending.remove(key);
    return values;
  }

  hasPendingRequests(nowMs: number): boolean {
    return !(
      this.pendingLatest.isEmpty(nowMs) && this.pendingActive.isEmpty(nowMs)
    );
  }

  private follows(key: string): boolean {
    return this.groups.some(group => group.keys.includes(key));
  }

  /**
   * Whether a peer has newer active values of a group that this host must
   * request: a key has an even newer revision that the peer has not activated,
   * so the latest values may be invalid.
   */
  private shouldRequestActive(
    group: ValueGroup,
    peerRevisions: ReadonlyMap<string, KeyRevision>,
  ): boolean {
    const deltas = group.keys.map(
      key =>
        (peerRevisions.get(key)?.inForce ?? 0) - this.local.activeRevision(key),
    );
    if (deltas.some(delta => delta < 0) || deltas.every(delta => delta === 0)) {
      return false;
    }
    return group.keys.some(key => {
      const entry = peerRevisions.get(key);
      const latest = Math.max(
        this.local.latestRevision(key),
        entry?.latest ?? 0,
      );
      return (entry?.inForce ?? 0) < latest;
    });
  }
}

function createValuesMessage(value: PublishedValues): ConfigurationMessage {
  return {body: {$case: 'values', value}};
}
