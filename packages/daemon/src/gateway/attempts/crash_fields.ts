/** What the log says of a crash of upstreams under a request. */
export interface CrashFields {
  /** Ids, separated by spaces. */
  readonly upstreams: string;
  /** Successive crashes that the request is held for, with this one. */
  readonly crashes: number;
  /** Whether the request ran without other suspects beside it. */
  readonly isIsolated: boolean;
  /** Whether nothing else ran there, as far as this host knows. */
  readonly isAlone: boolean;
  /** Whether it is refused from now on. */
  readonly isCondemned: boolean;
  /** First digits of the hash that identifies the request. */
  readonly fingerprint: string;
  /** First digits of the hashes of its scopes, separated by spaces. */
  readonly scopes: string;
}
