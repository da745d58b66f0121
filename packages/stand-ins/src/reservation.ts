/** Memory of an engine kept for one owner. */
export interface Reservation {
  readonly id: string;
  /** Host and incarnation that asked. */
  readonly owner: string;
  readonly tokens: number;
  /** Virtual time at which it ends unless in use, in milliseconds. */
  readonly expiresAtMs: number;
}
