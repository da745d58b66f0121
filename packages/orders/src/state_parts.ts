import type {OrderState} from '@parsleywood/schema/orders';

interface Progress {
  readonly incarnation: string;
  readonly serial: number;
  readonly seen: Set<number>;
}

/** Tells when every part of a peer's newest answer has come. */
export class StateParts {
  private readonly progress = new Map<string, Progress>();

  /** Takes one part; true once none is missing. */
  take(from: string, incarnation: string, state: OrderState): boolean {
    const {serial, part, parts} = state;
    const known = this.progress.get(from);
    const same = known?.incarnation === incarnation;
    if (same && known.serial > serial) return false;
    const progress =
      same && known.serial === serial
        ? known
        : {incarnation, serial, seen: new Set<number>()};
    this.progress.set(from, progress);
    progress.seen.add(part);
    return progress.seen.size >= parts;
  }
}
