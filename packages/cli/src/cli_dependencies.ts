import type {SettingsTool} from './config_module.js';

/** What the tool reads and writes besides its arguments. */
export interface Surroundings {
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Writes one line or block to standard output. */
  readonly write: (text: string) => void;
  /** Writes one line to standard error. */
  readonly writeError: (text: string) => void;
  readonly loadSettingsTool: () => Promise<SettingsTool>;
}
