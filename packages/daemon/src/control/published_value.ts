/** A value as the configuration service returns it. */
export interface PublishedValue {
  readonly key: string;
  /** Increases with each change of any value of the service. */
  readonly revision: number;
  readonly value: unknown;
}
