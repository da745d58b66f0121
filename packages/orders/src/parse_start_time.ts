/**
 * Parses the start time out of an incarnation id.
 *
 * @return Milliseconds since the epoch, or 0 if the id does not start with one.
 */
export function parseStartTime(incarnation: string): number {
  return Number.parseInt(incarnation, 10) || 0;
}
