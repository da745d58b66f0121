import type {OrderOutcome} from '@parsleywood/schema/peer';

const EMPTY_BODY = Buffer.alloc(0);
const ENTRY_OVERHEAD_BYTES = 200;

interface Entry {
  readonly outcome: OrderOutcome;
  readonly bytes: number;
}

/** Outcomes of finished orders; evicts the oldest beyond a size in bytes. */
export class OutcomeCache {
  private readonly entries = new Map<string, Entry>();
  private bytes = 0;

  constructor(private readonly capacityBytes: number) {}

  add(orderId: string, outcome: OrderOutcome): void {
    this.remove(orderId);
    const bytes = (outcome.body ?? EMPTY_BODY).length + ENTRY_OVERHEAD_BYTES;
    this.entries.set(orderId, {outcome, bytes});
    this.bytes += bytes;
    for (const oldest of this.entries.keys()) {
      if (this.bytes <= this.capacityBytes) return;
      this.remove(oldest);
    }
  }

  find(orderId: string): OrderOutcome | undefined {
    return this.entries.get(orderId)?.outcome;
  }

  remove(orderId: string): void {
    const entry = this.entries.get(orderId);
    if (!entry) return;
    this.entries.delete(orderId);
    this.bytes -= entry.bytes;
  }
}
