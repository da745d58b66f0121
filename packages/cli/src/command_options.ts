/** Options common to all commands. */
export interface CommandOptions {
  host?: string;
  json: boolean;
}
