import type {OrderFormation} from '@parsleywood/schema/orders';
import type {View} from './view.js';

/** What a host told of itself in the present round of recovery. */
export interface MemberState {
  readonly incarnation: string;
  readonly viewNumber: number;
  readonly complete: boolean;
  readonly activeView: number;
  readonly history: readonly View[];
  readonly memoryFromMs: number;
  readonly formation?: OrderFormation;
}
