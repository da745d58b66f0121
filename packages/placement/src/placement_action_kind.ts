/** What the placement of engines asks of its adapter. */
export enum PlacementActionKind {
  READ = 'read',
  ORDER = 'order',
}
