/** Options that every command takes. */
export interface CommandOptions {
  host?: string;
  json: boolean;
}
