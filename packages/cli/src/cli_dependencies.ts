import type {ConfigModule} from './config_module.js';

/** Process resources the tool uses besides its arguments; tests replace them. */
export interface CliDependencies {
  readonly environmentVariables: Readonly<Record<string, string | undefined>>;
  /** Writes one line or block to standard output. */
  readonly writeOutput: (text: string) => void;
  /** Writes one line to standard error. */
  readonly writeError: (text: string) => void;
  readonly loadConfigModule: () => Promise<ConfigModule>;
}
