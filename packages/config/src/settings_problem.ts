/** One value that may not stand in a settings file. */
export interface SettingsProblem {
  /** JSON pointer to the value; empty for the whole document. */
  readonly path: string;
  /** The value found; undefined where one is missing. */
  readonly value: unknown;
  /** What is allowed there, in plain words. */
  readonly allowed: string;
}
