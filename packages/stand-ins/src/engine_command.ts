import type {EngineCommandKind} from './engine_command_kind.js';

/** A command that changes what an engine serves. */
export interface EngineCommand {
  /** Commands with an older number than the last one are refused. */
  readonly fencing: number;
  readonly kind: EngineCommandKind;
  /** Model or adapter, for a load. */
  readonly name?: string;
  readonly version?: string;
  readonly role?: string;
}
