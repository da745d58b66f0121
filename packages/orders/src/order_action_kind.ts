/** Discriminates the actions that `Orders` requests from its adapter. */
export enum OrderActionKind {
  SEND = 'send',
  FORWARD = 'forward',
  DISPATCH = 'dispatch',
  ANSWER = 'answer',
  FAIL = 'fail',
}
