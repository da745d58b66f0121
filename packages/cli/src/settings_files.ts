/** Files that a command on settings is given. */
export interface SettingsFiles {
  base: string;
  overlay?: string;
}
