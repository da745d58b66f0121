import type {OrderFormation} from '@parsleywood/schema/orders';
import type {View} from './view.js';

/** State that a host reported about itself in the current recovery round. */
export interface MemberState {
  readonly incarnation: string;
  readonly viewNumber: number;
  /** Whether the host has the claim records of its active view. */
  readonly complete: boolean;
  readonly activeView: number;
  readonly history: readonly View[];
  readonly memoryFromMs: number;
  readonly formation?: OrderFormation;
}
