/** Minimum level of the event log, set in the start settings. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';
