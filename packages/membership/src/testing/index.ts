/** A site simulated in virtual time, for tests and benchmarks of membership. */
export type {SiteChange} from './site_change.js';
export type {SiteOptions} from './site_options.js';
export {VirtualSite} from './virtual_site.js';
