/** Benches: each measures one promise beside its baseline. */
export type {BenchOptions} from './bench_options.js';
export type {BenchReport} from './bench_report.js';
export {LocalSite} from './local_site.js';
export {SITE_DEFAULTS} from './site_defaults.js';
export type {SiteHost} from './site_host.js';
export type {SiteOptions} from './site_options.js';
export type {SiteReport} from './site_report.js';
export type {SiteUpstream} from './site_upstream.js';
