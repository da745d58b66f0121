/** A value of the configuration service. */
export interface PublishedValue {
  readonly key: string;
  /** Grows with each change in the service. */
  readonly revision: number;
  readonly value: unknown;
}
