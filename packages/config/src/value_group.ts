import type {PublishedValue} from '@parsleywood/schema/configuration';
import type {Result} from 'true-myth/result';
import type {ConfigurationAction} from './configuration_action.js';
import type {ConfigurationProblem} from './configuration_problem.js';

/** Published values that are activated together or not at all. */
export interface ValueGroup {
  readonly keys: readonly string[];
  /** Whether a starting host needs these values to find its peers. */
  readonly isNeededAtStart: boolean;

  /**
   * Checks one value for each key, in the order of `keys`.
   *
   * @return The action that activates the values, or the reason for refusing
   *     them.
   */
  check(
    values: readonly PublishedValue[],
  ): Result<ConfigurationAction, ConfigurationProblem>;
}
