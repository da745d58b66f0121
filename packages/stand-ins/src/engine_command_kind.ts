/** What an order to an engine changes. */
export enum EngineOrderKind {
  LOAD_MODEL = 'load_model',
  LOAD_ADAPTER = 'load_adapter',
  SET_ROLE = 'set_role',
}
