/** What can happen to an engine. */
export enum EngineEventKind {
  SUBMIT = 'submit',
  CANCEL = 'cancel',
  SET_PRIORITY = 'set_priority',
  /** Time has passed. */
  WAKE = 'wake',
}
