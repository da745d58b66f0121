import type {OrderState} from '@parsleywood/schema/orders';

/** Tells when every part of a peer's answer has come. */
export class StateParts {
  private readonly seen = new Map<string, Set<number>>();

  /** Takes one part; true once none is missing. */
  take(from: string, incarnation: string, state: OrderState): boolean {
    const name = `${from}/${incarnation}/${state.round}/${state.parts}`;
    const parts = this.seen.get(name) ?? new Set();
    parts.add(state.part);
    this.seen.set(name, parts);
    return parts.size >= state.parts;
  }

  clear(): void {
    this.seen.clear();
  }
}
