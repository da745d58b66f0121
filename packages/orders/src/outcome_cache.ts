import type {OrderOutcome} from '@parsleywood/schema/peer';

const EMPTY_BODY = Buffer.alloc(0);
const ENTRY_BYTES = 200;

interface Entry {
  readonly outcome: OrderOutcome;
  readonly bytes: number;
}

/** Outcomes of finished orders, oldest dropped first beyond a size. */
export class Outcomes {
  private readonly entries = new Map<string, Entry>();
  private bytes = 0;

  constructor(private readonly capacityBytes: number) {}

  keep(order: string, outcome: OrderOutcome): void {
    this.drop(order);
    const bytes = (outcome.body ?? EMPTY_BODY).length + ENTRY_BYTES;
    this.entries.set(order, {outcome, bytes});
    this.bytes += bytes;
    for (const oldest of this.entries.keys()) {
      if (this.bytes <= this.capacityBytes) return;
      this.drop(oldest);
    }
  }

  find(order: string): OrderOutcome | undefined {
    return this.entries.get(order)?.outcome;
  }

  drop(order: string): void {
    const entry = this.entries.get(order);
    if (!entry) return;
    this.entries.delete(order);
    this.bytes -= entry.bytes;
  }
}
