/** What a caller tells the directory of itself; absent where it tells nothing. */
export interface DirectoryQuery {
  /** Host name that it wants to send requests to. */
  readonly name?: string | undefined;
  readonly region?: string | undefined;
  readonly failureDomain?: string | undefined;
}
