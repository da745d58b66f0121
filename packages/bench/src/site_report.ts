import type {SiteHost} from './site_host.js';
import type {SiteUpstream} from './site_upstream.js';

/** What a local site tells of itself once it is ready. */
export interface SiteReport {
  readonly ready: true;
  readonly model: string;
  readonly service: string;
  /** Bearer key by client account. */
  readonly keys: Readonly<Record<string, string>>;
  /** URL of the platform. */
  readonly platform: string;
  readonly hosts: readonly SiteHost[];
  readonly engines: readonly SiteUpstream[];
  readonly services: readonly SiteUpstream[];
}
