/** What a soak test runs. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
}
