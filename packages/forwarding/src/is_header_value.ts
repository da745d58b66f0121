/** Visible characters and bytes above ASCII, with blanks only between them. */
const FIELD_VALUE =
  /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/**
 * Whether a text arrives unchanged as the value of an HTTP field, by RFC 9110: readers
 * drop blanks at its ends, and refuse control characters.
 */
export function isHeaderValue(text: string): boolean {
  return FIELD_VALUE.test(text);
}
