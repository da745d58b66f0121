import type {ConfigurationProblemKind} from './configuration_problem_kind.js';

/** A problem with the published configuration or the configuration service. */
export interface ConfigurationProblem {
  readonly kind: ConfigurationProblemKind;
  /** The affected keys, each with its revision. */
  readonly revisions: Readonly<Record<string, number>>;
  /** One line for operators. */
  readonly message: string;
}
