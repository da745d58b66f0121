import type {Decision} from '@parsleywood/types';

import type {SpreadAction} from './spread_action.js';
import type {SpreadEvent} from './spread_event.js';
import type {SpreadOptions} from './spread_options.js';

/** Reserves several engines for one prompt, all or none. */
export class SpreadPlan implements Decision<SpreadEvent, SpreadAction> {
  constructor(private readonly options: SpreadOptions) {}

  handle(_event: SpreadEvent, _nowMs: number): SpreadAction[] {
    void this.options;
    return [];
  }

  wakeAtMs(): number {
    return Infinity;
  }
}
