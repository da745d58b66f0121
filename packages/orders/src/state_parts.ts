import type {OrderState} from '@parsleywood/schema/orders';

interface Progress {
  readonly incarnation: string;
  readonly serial: number;
  readonly received: Set<number>;
}

/** Tells when every part of a peer's newest answer has come. */
export class StateParts {
  private readonly progressByHost = new Map<string, Progress>();

  /** Takes one part; true once none is missing. */
  add(from: string, incarnation: string, state: OrderState): boolean {
    const {serial, part, parts} = state;
    const known = this.progressByHost.get(from);
    const isSameIncarnation = known?.incarnation === incarnation;
    if (isSameIncarnation && known.serial > serial) return false;
    const progress =
      isSameIncarnation && known.serial === serial
        ? known
        : {incarnation, serial, received: new Set<number>()};
    this.progressByHost.set(from, progress);
    progress.received.add(part);
    return progress.received.size >= parts;
  }
}
