/**
 * Arrival rate at one host for one model and length class, in prompt tokens per
 * second.
 */
export interface ClassDemand {
  readonly model: string;
  readonly lengthClass: string;
  readonly tokensPerSecond: number;
}
