/** Kinds of calls to an engine: reading its state or sending it a command. */
export enum PlacementActionKind {
  READ = 'read',
  SEND_COMMAND = 'order',
}
