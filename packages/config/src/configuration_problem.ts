import type {ConfigurationProblemKind} from './configuration_problem_kind.js';

/** A fault of the published configuration or of the service. */
export interface ConfigurationProblem {
  readonly kind: ConfigurationProblemKind;
  /** The keys concerned and the revision of each. */
  readonly revisions: Readonly<Record<string, number>>;
  /** One line in plain words. */
  readonly message: string;
}
