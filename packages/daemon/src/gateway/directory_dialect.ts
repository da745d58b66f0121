/** How the directory is asked, and how it answers. */
export interface DirectoryDialect {
  readonly path: string;

  /**
   * Encodes an answer as JSON content.
   *
   * @param hosts IP:port of hosts for callers.
   * @param ttlMs How long callers may keep it.
   */
  encode(hosts: readonly string[], ttlMs: number): object;
}
