import type {PublishedValue} from '@parsleywood/schema/configuration';
import type {ConfigurationProblem} from './configuration_problem.js';
import type {ConfigurationProblemKind} from './configuration_problem_kind.js';
import {formatProblem} from './format_problem.js';
import type {SettingsProblem} from './settings_problem.js';

const MAX_LISTED_PROBLEMS = 3;

/**
 * Describes which published values were refused and lists the first reasons.
 */
export function describeRefusal(
  kind: ConfigurationProblemKind,
  values: readonly PublishedValue[],
  problems: readonly SettingsProblem[],
): ConfigurationProblem {
  const descriptions = problems
    .slice(0, MAX_LISTED_PROBLEMS)
    .map(formatProblem);
  const omittedCount = problems.length - descriptions.length;
  if (omittedCount > 0) descriptions.push(`${omittedCount} more`);
  const refusedValues = values.map(
    value => `${value.key} at revision ${value.revision}`,
  );
  return {
    kind,
    revisions: Object.fromEntries(
      values.map(value => [value.key, value.revision]),
    ),
    message: `refused ${refusedValues.join(' and ')}: ${descriptions.join('; ')}`,
  };
}
