import type {SettingsProblem} from './settings_problem.js';

/** Why a process cannot start on its settings. */
export interface StartSettingsError {
  /** The settings file, or the flags. */
  readonly source: string;
  /** What is wrong; empty where the file cannot be read at all. */
  readonly problems: readonly SettingsProblem[];
  /** One line: file, path in it, value and what is allowed. */
  readonly message: string;
}
