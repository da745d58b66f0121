import type {PublishedValue} from '@parsleywood/schema/configuration';
import type {ConfigurationAction} from './configuration_action.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import type {ValueGroup} from './value_group.js';

/**
 * The latest published values and those in force. No revision of either ever
 * goes back.
 */
export class HeldValues {
  private readonly latest = new Map<string, PublishedValue>();
  private readonly inForce = new Map<string, PublishedValue>();
  private readonly refused = new Map<ValueGroup, string>();
  private readonly problemOf = new Map<ValueGroup, ConfigurationProblem>();

  constructor(private readonly groups: readonly ValueGroup[]) {}

  /** The highest value seen, valid or not. */
  latestOf(key: string): PublishedValue | undefined {
    return this.latest.get(key);
  }

  inForceOf(key: string): PublishedValue | undefined {
    return this.inForce.get(key);
  }

  latestRevision(key: string): number {
    return this.latest.get(key)?.revision ?? 0;
  }

  inForceRevision(key: string): number {
    return this.inForce.get(key)?.revision ?? 0;
  }

  problems(): ConfigurationProblem[] {
    return [...this.problemOf.values()];
  }

  /** Keeps a value if it is above all seen before. */
  offer(value: PublishedValue): boolean {
    if (!Number.isSafeInteger(value.revision)) return false;
    if (value.revision <= this.latestRevision(value.key)) return false;
    this.latest.set(value.key, value);
    return true;
  }

  /** Puts the latest values of a group in force where they are valid. */
  apply(group: ValueGroup): ConfigurationAction[] {
    const values: readonly (PublishedValue | undefined)[] = group.keys.map(
      key => this.latest.get(key),
    );
    if (!isWhole(values) || !this.isAdvance(values)) return [];
    const tried = values.map(value => value.revision).join();
    if (this.refused.get(group) === tried) return [];
    return group.check(values).match({
      Ok: action => this.enforce(group, values, action),
      Err: problem => {
        this.refused.set(group, tried);
        this.problemOf.set(group, problem);
        return [{kind: ConfigurationActionKind.ALARM, problem}];
      },
    });
  }

  /** Takes values that a peer has in force together where they are newer. */
  adopt(offered: readonly PublishedValue[]): ConfigurationAction[] {
    const byKey = new Map(offered.map(value => [value.key, value]));
    return this.groups.flatMap(group => {
      const values: readonly (PublishedValue | undefined)[] = group.keys.map(
        key => byKey.get(key),
      );
      if (!isWhole(values) || !this.isAdvance(values)) return [];
      return group.check(values).match({
        Ok: action => this.enforce(group, values, action),
        Err: () => [],
      });
    });
  }

  private enforce(
    group: ValueGroup,
    values: readonly PublishedValue[],
    action: ConfigurationAction,
  ): ConfigurationAction[] {
    for (const value of values) {
      this.inForce.set(value.key, value);
      this.offer(value);
    }
    const current = values.every(
      value => value.revision === this.latestRevision(value.key),
    );
    if (current) this.problemOf.delete(group);
    return [action];
  }

  private isAdvance(values: readonly PublishedValue[]): boolean {
    const steps = values.map(
      value => value.revision - this.inForceRevision(value.key),
    );
    return steps.every(step => step >= 0) && steps.some(step => step > 0);
  }
}

function isWhole(
  values: readonly (PublishedValue | undefined)[],
): values is readonly PublishedValue[] {
  return values.every(value => value !== undefined);
}
