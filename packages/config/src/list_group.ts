import type {PublishedValue} from '@parsleywood/schema/configuration';
import {Result} from 'true-myth/result';
import type {ConfigurationAction} from './configuration_action.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import {ConfigurationProblemKind} from './configuration_problem_kind.js';
import {describeRefusal} from './describe_refusal.js';
import {parseSettings} from './parse_settings.js';
import type {SettingsProblem} from './settings_problem.js';
import type {ValueGroup} from './value_group.js';

/** A list published under one key, such as the hosts of a site. */
export class ListGroup<T> implements ValueGroup {
  readonly keys: readonly string[];

  constructor(
    key: string,
    readonly isNeededAtStart: boolean,
    private readonly checkList: (
      value: unknown,
    ) => Result<T, SettingsProblem[]>,
    private readonly createAction: (
      revision: number,
      list: T,
    ) => ConfigurationAction,
  ) {
    this.keys = [key];
  }

  check(
    values: readonly PublishedValue[],
  ): Result<ConfigurationAction, ConfigurationProblem> {
    const [value] = values;
    return parseSettings(value?.text ?? '')
      .mapErr(problem => [problem])
      .andThen(this.checkList)
      .map(list => this.createAction(value?.revision ?? 0, list))
      .mapErr(problems => {
        const kind = ConfigurationProblemKind.LIST_REFUSED;
        return describeRefusal(kind, values, problems);
      });
  }
}
