/** Commands that an engine accepts, by their wire names. */
export enum EngineCommandKind {
  LOAD_MODEL = 'load_model',
  LOAD_ADAPTER = 'load_adapter',
  SET_ROLE = 'set_role',
}
