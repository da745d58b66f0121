import type {EngineOptions} from './engine_options.js';

/** How an engine is started. */
export interface EngineStart {
  /** Port on loopback; any free one when 0. */
  readonly port?: number;
  /** Models that are there from the start; any when empty. */
  readonly models?: readonly string[];
  /** Changes to the constants of the model. */
  readonly options?: Partial<EngineOptions>;
  /** Multiplies all rates. */
  readonly speed?: number;
  /** Whether commands with an old fencing number are carried out. */
  readonly ignoresFencing?: boolean;
  /** Time without an open port after a crash, in milliseconds. */
  readonly restartAfterMs?: number;
  /** Called at a crash in place of the restart with empty memory. */
  readonly onCrash?: () => void;
}
