import type {EngineFaults} from './engine_faults.js';
import type {EngineRunner} from './engine_runner.js';
import type {EngineCommands} from './engine_commands.js';
import type {EngineOptions} from './engine_options.js';

/** An engine as its routes see it; a crash replaces memory and commands. */
export interface RunningEngine {
  readonly options: EngineOptions;
  readonly runner: EngineRunner;
  readonly commands: EngineCommands;
  readonly crashes: number;
  /** Changes when the engine loses its memory. */
  readonly incarnation: string;
  /** Ends the engine as a fault would. */
  crash(): void;
  /** Sets faults. */
  setFaults(faults: EngineFaults): void;
}
