import {MemoryKind, type MemoryBudget} from '@parsleywood/forwarding';
import {Counter, Gauge, type Registry} from 'prom-client';

/** Metrics of what callers make a host keep, and of what it did against it. */
export class MemoryMetrics {
  readonly ended: Counter;
  readonly collections: Counter;
  private budget: MemoryBudget | undefined;
  readonly closedConnections: Counter;

  constructor(registry: Registry) {
    const registers = [registry];
    const heldBytes = new Gauge({
      name: 'parsleywood_memory_held_bytes',
      help: 'Bytes that this host keeps for its callers, by kind.',
      labelNames: ['kind'],
      registers,
      collect: () => {
        for (const kind of Object.values(MemoryKind)) {
          heldBytes.set({kind}, this.budget?.getHeldBytes(kind) ?? 0);
        }
      },
    });
    this.ended = new Counter({
      name: 'parsleywood_memory_ended_total',
      help: 'Requests ended as memory was short, by kind and reason.',
      labelNames: ['kind', 'reason'],
      registers,
    });
    this.collections = new Counter({
      name: 'parsleywood_memory_collections_total',
      help: 'Times that this host freed unused memory by itself.',
      registers,
    });
    this.closedConnections = new Counter({
      name: 'parsleywood_connections_closed_total',
      help: 'Caller connections closed as too many were open.',
      registers,
    });
  }

  /** Shows what a budget has given out. */
  watch(budget: MemoryBudget): void {
    this.budget = budget;
  }
}
