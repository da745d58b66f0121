import type {SiteSourceErrorKind} from './site_source_error_kind.js';

/** Failure of a call to the configuration store. */
export interface SiteSourceError {
  readonly kind: SiteSourceErrorKind;
  readonly detail: string;
}
