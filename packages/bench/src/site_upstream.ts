/** An upstream of a local site. */
export interface SiteUpstream {
  readonly name: string;
  readonly url: string;
}
