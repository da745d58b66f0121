import type {SourceFaultKind} from './source_fault_kind.js';

/** Why a call of the store has no result. */
export interface SourceFault {
  readonly kind: SourceFaultKind;
  readonly detail: string;
}
