import type {EngineCommandKind} from './engine_command_kind.js';

/** Command to an engine, in its wire form. */
export interface EngineCommand {
  /** Engines that check the fencing token reject commands with older ones. */
  readonly fencing: number;
  readonly kind: EngineCommandKind;
  readonly name?: string;
  readonly version?: string;
  /**
   * New role, for `set_role` only; without it the command just raises the
   * fencing token of the engine.
   */
  readonly role?: string;
}
