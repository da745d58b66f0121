/** Paths of the settings files that a `config` command reads. */
export interface SettingsFiles {
  base: string;
  overlay?: string;
}
