/** Prompt tokens a second that a host sees for one model and length class. */
export interface ClassDemand {
  readonly model: string;
  readonly lengthClass: string;
  readonly tokensPerSecond: number;
}
