import type {OrderFormation} from '@parsleywood/schema/orders';

/** The right to vote in a view, and since when the memory behind it reaches. */
export interface Activation {
  readonly memoryFromMs: number;
  readonly formation?: OrderFormation;
}
