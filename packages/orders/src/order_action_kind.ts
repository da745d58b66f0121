/** What the order decision asks its adapter to do. */
export enum OrderActionKind {
  SEND = 'send',
  FORWARD = 'forward',
  DISPATCH = 'dispatch',
  ANSWER = 'answer',
  FAIL = 'fail',
}
