/** What a host may send to a cold upstream. */
export enum ColdUse {
  /** It owns a part of the rate. */
  OWNED = 'owned',
  /** Other hosts own the rate. */
  LEFT_TO_OTHERS = 'left_to_others',
  /** Nothing, as the host has started or was held up. */
  SETTLING = 'settling',
}
