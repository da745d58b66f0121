/**
 * One value that differs between two settings documents; secrets are masked.
 */
export interface SettingsChange {
  /** JSON pointer. */
  readonly path: string;
  /** Undefined where the value was added. */
  readonly before: unknown;
  /** Undefined where the value was removed. */
  readonly after: unknown;
}
