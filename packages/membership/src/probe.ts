/** One ping that this host sent. */
export interface Probe {
  readonly id: number;
  readonly target: string;
  readonly sentMs: number;
  /** For whom it was sent, when on a peer's behalf. */
  readonly relay?: {readonly to: string; readonly probe: number};
  /** Whether peers were asked to ping the target too. */
  indirect: boolean;
  /** Whether it counts no more for the target's silence. */
  closed: boolean;
}
