/** One value that differs between two settings; secrets are masked. */
export interface SettingsChange {
  /** JSON pointer. */
  readonly path: string;
  /** Undefined where it was not there. */
  readonly before: unknown;
  /** Undefined where it is no longer there. */
  readonly after: unknown;
}
