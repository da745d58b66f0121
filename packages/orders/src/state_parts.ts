import type {OrderState} from '@parsleywood/schema/orders';

interface Progress {
  readonly incarnation: string;
  readonly serial: number;
  readonly received: Set<number>;
}

/** Tracks whether all parts of each peer's latest state message arrived. */
export class StateParts {
  private readonly progressByHost = new Map<string, Progress>();

  /**
   * Records one part.
   *
   * @return Whether all parts of the message have arrived. False for a part of
   *     an older message of the same incarnation.
   */
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
