/** Bytes that the responses of a host may take together until they are complete. */
const MAX_BYTES = 16_777_216;
/** Bytes that a response may take whatever others do. */
const FREE_BYTES = 65_536;

/**
 * Bounds what a host keeps of responses that are passed on whole. Load pattern: several
 * responses without end at once, beside many short ones.
 */
export class BufferBudget {
  private takenBytes = 0;

  /**
   * Takes room for more of a response.
   *
   * @param heldBytes What the response takes already.
   * @return Whether there was room.
   */
  take(bytes: number, heldBytes: number): boolean {
    const isFree = heldBytes + bytes <= FREE_BYTES;
    if (!isFree && this.takenBytes + bytes > MAX_BYTES) return false;
    this.takenBytes += bytes;
    return true;
  }

  give(bytes: number): void {
    this.takenBytes -= bytes;
  }
}
