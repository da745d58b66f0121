const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Parses the creation time out of a UUIDv7 key (RFC 9562, section 5.7).
 *
 * @return Milliseconds since the epoch, or undefined for any other key.
 */
export function parseKeyTime(key: string): number | undefined {
  const match = UUID_V7.exec(key);
  if (!match) return undefined;
  return Number.parseInt(`${match[1]}${match[2]}`, 16);
}
