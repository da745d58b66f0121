/** What a request may have in common with others that crash upstreams. */
export interface RequestTraits {
  /** Hashes from `describeScopes`, first the one that tells requests apart. */
  readonly scopes: readonly string[];
  /** Ids of the parts of the prompt that other prompts may share. */
  readonly parts: readonly string[];
}
