/** Reads the start time of an incarnation id, in milliseconds since the epoch. */
export function parseStartTime(incarnation: string): number {
  return Number.parseInt(incarnation, 10) || 0;
}
