import type {SourceFaultKind} from './site_source_error_kind.js';

/** Failure of a call to the configuration store. */
export interface SourceFault {
  readonly kind: SourceFaultKind;
  readonly detail: string;
}
