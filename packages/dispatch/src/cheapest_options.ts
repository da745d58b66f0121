import type {PrefillOption} from './prefill_option.js';

/** The cheapest of the options that were added, in order; of equal ones the first. */
export class CheapestOptions {
  private readonly entries: {
    readonly option: PrefillOption;
    readonly cost: number;
  }[] = [];

  /** @param maxCount Number of options that are kept. */
  constructor(private readonly maxCount: number) {}

  /** Whether an option of at least this cost may be among the cheapest. */
  accepts(cost: number): boolean {
    if (this.entries.length < this.maxCount) return true;
    return cost < (this.entries.at(-1)?.cost ?? -Infinity);
  }

  add(option: PrefillOption, cost: number): void {
    if (!this.accepts(cost)) return;
    let index = this.entries.length;
    while (index > 0 && cost < (this.entries[index - 1]?.cost ?? -Infinity)) {
      index--;
    }
    this.entries.splice(index, 0, {option, cost});
    if (this.entries.length > this.maxCount) this.entries.pop();
  }

  list(): PrefillOption[] {
    return this.entries.map(({option}) => option);
  }
}
