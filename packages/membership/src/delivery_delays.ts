/**
 * Delay that is taken for usual: two heartbeats of 600 ms may be that far apart, and
 * the sender's clock may stand still between them.
 */
const USUAL_DELAY_MS = 1_000;
/**
 * Time after which a delay that lasts is that of the link, or the sender's clock was
 * set. What a cut held up arrives at once after it.
 */
const LASTING_MS = 2_000;
/** Senders that are remembered; twice as many as there are hosts on the largest site. */
const MAX_SENDERS = 1_024;

interface Sender {
  readonly incarnation: string;
  /** Own time minus the sender's for deliveries that were not late. */
  readonly offsetMs: number;
  /** When the first of the late deliveries arrived; undefined if none is late. */
  readonly lateSinceMs: number | undefined;
}

/**
 * Tells deliveries that were held up from those that were just sent. Load pattern: a
 * host resumes after a freeze, or a partition ends, and heartbeats of hosts arrive that
 * were killed meanwhile.
 */
export class DeliveryDelays {
  private readonly senders = new Map<string, Sender>();

  /**
   * Records a delivery.
   *
   * @param sentAtMs Time of the sender's clock; undefined if it tells none.
   * @return Whether it was held up for more than a second.
   */
  isLate(
    sender: string,
    incarnation: string,
    sentAtMs: number | undefined,
    nowMs: number,
  ): boolean {
    if (sentAtMs === undefined) return false;
    const known = this.senders.get(sender);
    const current = nowMs - sentAtMs;
    const isKnown = known?.incarnation === incarnation;
    const offsetMs = isKnown ? known.offsetMs : current;
    const lateSinceMs = (isKnown ? known.lateSinceMs : undefined) ?? nowMs;
    const isLate =
      current - offsetMs > USUAL_DELAY_MS && nowMs - lateSinceMs < LASTING_MS;
    this.senders.delete(sender);
    this.senders.set(sender, {
      incarnation,
      offsetMs: isLate ? offsetMs : current,
      lateSinceMs: isLate ? lateSinceMs : undefined,
    });
    const [oldest] = this.senders.keys();
    const isFull = this.senders.size > MAX_SENDERS;
    if (isFull && oldest !== undefined) this.senders.delete(oldest);
    return isLate;
  }
}
