/** One invalid or missing value in a settings document. */
export interface SettingsProblem {
  /** JSON pointer to the value; empty for the whole document. */
  readonly path: string;
  /** The value found, not masked; undefined where it is missing. */
  readonly value: unknown;
  /** What is allowed there, as a phrase that follows "allowed is". */
  readonly allowed: string;
}
