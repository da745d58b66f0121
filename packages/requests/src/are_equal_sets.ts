/** Whether two sets have the same elements. */
export function areEqualSets<T>(
  one: ReadonlySet<T>,
  other: ReadonlySet<T>,
): boolean {
  return one.size === other.size && [...one].every(it => other.has(it));
}
