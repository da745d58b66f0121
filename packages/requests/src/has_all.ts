/** Whether a set has all elements of a list. */
export function hasAll<T>(set: ReadonlySet<T>, list: readonly T[]): boolean {
  return list.every(it => set.has(it));
}
