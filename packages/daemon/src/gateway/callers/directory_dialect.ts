import type {DirectoryQuery} from '@parsleywood/forwarding';

/** Path and response format of the host directory. */
export interface DirectoryDialect {
  readonly path: string;
  /** Names of the query's parameters. */
  readonly query: Readonly<Record<keyof DirectoryQuery, string>>;

  /**
   * Builds the JSON content of a response.
   *
   * @param hosts IP:port at which hosts serve callers.
   * @param ttlMs How long callers may cache the response.
   */
  encode(hosts: readonly string[], ttlMs: number): object;
}
