/** Escapes a name as one reference token of a JSON pointer (RFC 6901). */
export function escapePointer(name: string): string {
  return name.replaceAll('~', '~0').replaceAll('/', '~1');
}
