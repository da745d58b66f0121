/** Limits of a client account that hosts split among them. */
export enum DemandKind {
  REQUESTS = 'requests',
  TOKENS = 'tokens',
  CONCURRENT = 'concurrent',
}
