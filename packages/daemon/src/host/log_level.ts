/** Levels of the event log, from the start settings. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';
