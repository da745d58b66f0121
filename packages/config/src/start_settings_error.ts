import type {SettingsProblem} from './settings_problem.js';

/** The reason why a process cannot start with its settings. */
export interface StartSettingsError {
  /** Path of the settings file, or `flags`. */
  readonly source: string;
  /** The invalid values; empty where the file cannot be read or parsed. */
  readonly problems: readonly SettingsProblem[];
  /** One line: source, path in it, value and what is allowed. */
  readonly message: string;
}
