import type {SourceFaultKind} from './source_fault_kind.js';

/** Failure of a call to the configuration store. */
export interface SourceFault {
  readonly kind: SourceFaultKind;
  readonly detail: string;
}
