/** What an engine answers with. */
export enum EngineActionKind {
  REFUSE = 'refuse',
  TOKEN = 'token',
  FINISH = 'finish',
  /** The attempt's time limit passed; the engine ended the work. */
  EXPIRE = 'expire',
}
