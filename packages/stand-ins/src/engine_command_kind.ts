/** What a command to an engine changes. */
export enum EngineCommandKind {
  LOAD_MODEL = 'load_model',
  LOAD_ADAPTER = 'load_adapter',
  SET_ROLE = 'set_role',
}
