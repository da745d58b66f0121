/** What happened to a block of the prefix cache. */
export enum CacheEventKind {
  STORED = 'stored',
  EVICTED = 'evicted',
}
