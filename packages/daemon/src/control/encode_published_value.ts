/** Stands for a value that cannot be encoded; no check takes it. */
const UNREADABLE = '"a value that cannot be read"';

/**
 * Encodes a published value as JSON. One that is missing or nested too deeply gives
 * a text that every check refuses, so that it raises an alarm and changes nothing.
 */
export function encodePublishedValue(value: unknown): string {
  if (value === undefined) return UNREADABLE;
  try {
    return JSON.stringify(value);
  } catch {
    return UNREADABLE;
  }
}
