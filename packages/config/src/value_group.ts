import type {PublishedValue} from '@parsleywood/schema/configuration';
import type {Result} from 'true-myth/result';
import type {ConfigurationAction} from './configuration_action.js';
import type {ConfigurationProblem} from './configuration_problem.js';

/** Published values that come into force together or not at all. */
export interface ValueGroup {
  readonly keys: readonly string[];
  /** Whether a starting host needs them to find its peers. */
  readonly isNeededAtStart: boolean;

  /**
   * Checks one value of each key, in the order of `keys`.
   *
   * @return The action that puts them in force, or why they are refused.
   */
  check(
    values: readonly PublishedValue[],
  ): Result<ConfigurationAction, ConfigurationProblem>;
}
