/** The limits of a client account that hosts share. */
export enum DemandKind {
  REQUESTS = 'requests',
  TOKENS = 'tokens',
  CONCURRENT = 'concurrent',
}
