/** An entry host of a local site. */
export interface SiteHost {
  readonly name: string;
  readonly pid: number;
  /** URL for callers. */
  readonly callers: string;
  /** URL for operators. */
  readonly operators: string;
}
