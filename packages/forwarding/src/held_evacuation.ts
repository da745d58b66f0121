/** An evacuation that stays in force although a copy of the store lacks it. */
export interface HeldEvacuation {
  readonly failureDomain: string;
  /** Time for which it stays in force, in milliseconds. */
  readonly leftMs: number;
}
