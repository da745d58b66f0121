import type {PublishedValue} from '@parsleywood/schema/configuration';
import type {ConfigurationAction} from './configuration_action.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import type {ValueGroup} from './value_group.js';

/**
 * The published values that this host holds: the latest ones seen, and the
 * active ones. The revision of a key never decreases in either set.
 */
export class LocalValues {
  private readonly latest = new Map<string, PublishedValue>();
  private readonly active = new Map<string, PublishedValue>();
  private readonly refused = new Map<ValueGroup, string>();
  private readonly problemByGroup = new Map<ValueGroup, ConfigurationProblem>();

  constructor(private readonly groups: readonly ValueGroup[]) {}

  /** The value with the highest revision seen, valid or not. */
  findLatest(key: string): PublishedValue | undefined {
    return this.latest.get(key);
  }

  findActive(key: string): PublishedValue | undefined {
    return this.active.get(key);
  }

  latestRevision(key: string): number {
    return this.latest.get(key)?.revision ?? 0;
  }

  activeRevision(key: string): number {
    return this.active.get(key)?.revision ?? 0;
  }

  problems(): ConfigurationProblem[] {
    return [...this.problemByGroup.values()];
  }

  /**
   * Stores a value if its revision is higher than all seen before for its key.
   */
  storeIfNewer(value: PublishedValue): boolean {
    if (!Number.isSafeInteger(value.revision)) return false;
    if (value.revision <= this.latestRevision(value.key)) return false;
    this.latest.set(value.key, value);
    return true;
  }

  /**
   * Activates the latest values of a group if they are newer and valid. A
   * refused set of revisions is not checked again.
   */
  activateLatest(group: ValueGroup): ConfigurationAction[] {
    const values: readonly (PublishedValue | undefined)[] = group.keys.map(
      key => this.latest.get(key),
    );
    if (!isComplete(values) || !this.isNewerThanActive(values)) return [];
    const attempted = values.map(value => value.revision).join();
    if (this.refused.get(group) === attempted) return [];
    return group.check(values).match({
      Ok: action => this.activate(group, values, action),
      Err: problem => {
        this.refused.set(group, attempted);
        this.problemByGroup.set(group, problem);
        return [{kind: ConfigurationActionKind.RAISE_ALARM, problem}];
      },
    });
  }

  /**
   * Activates values that are active together at a peer, where they are newer.
   */
  activateFromPeer(
    peerValues: readonly PublishedValue[],
  ): ConfigurationAction[] {
    const byKey = new Map(peerValues.map(value => [value.key, value]));
    return this.groups.flatMap(group => {
      const values: readonly (PublishedValue | undefined)[] = group.keys.map(
        key => byKey.get(key),
      );
      if (!isComplete(values) || !this.isNewerThanActive(values)) return [];
      return group.check(values).match({
        Ok: action => this.activate(group, values, action),
        Err: () => [],
      });
    });
  }

  private activate(
    group: ValueGroup,
    values: readonly PublishedValue[],
    action: ConfigurationAction,
  ): ConfigurationAction[] {
    for (const value of values) {
      this.active.set(value.key, value);
      this.storeIfNewer(value);
    }
    const isLatest = values.every(
      value => value.revision === this.latestRevision(value.key),
    );
    if (isLatest) this.problemByGroup.delete(group);
    return [action];
  }

  private isNewerThanActive(values: readonly PublishedValue[]): boolean {
    const deltas = values.map(
      value => value.revision - this.activeRevision(value.key),
    );
    return deltas.every(delta => delta >= 0) && deltas.some(delta => delta > 0);
  }
}

function isComplete(
  values: readonly (PublishedValue | undefined)[],
): values is readonly PublishedValue[] {
  return values.every(value => value !== undefined);
}
