/** Why a request gets no upstream now. */
export interface Shortage {
  /** Time until room for it is expected; 0 or below when that is unknown. */
  readonly waitMs: number;
}
