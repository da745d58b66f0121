import type {PublishedValue} from '@parsleywood/schema/configuration';
import type {ConfigurationProblem} from './configuration_problem.js';
import type {ConfigurationProblemKind} from './configuration_problem_kind.js';
import {formatProblem} from './format_problem.js';
import type {SettingsProblem} from './settings_problem.js';

const MAX_PROBLEMS_NAMED = 3;

/** Says which published values are refused and why. */
export function describeRefusal(
  kind: ConfigurationProblemKind,
  values: readonly PublishedValue[],
  problems: readonly SettingsProblem[],
): ConfigurationProblem {
  const named = problems.slice(0, MAX_PROBLEMS_NAMED).map(formatProblem);
  const more = problems.length - named.length;
  if (more > 0) named.push(`${more} more`);
  const where = values.map(value => `${value.key} at ${value.revision}`);
  return {
    kind,
    revisions: Object.fromEntries(
      values.map(value => [value.key, value.revision]),
    ),
    message: `refused ${where.join(' with ')}: ${named.join('; ')}`,
  };
}
