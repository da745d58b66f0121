const COUNT = /^0*(\d+)$/;

/**
 * Whether two ids are counts in decimal digits, of any length, and the first is not
 * greater. Other ids have no order that is known here.
 */
export function isEarlierCount(id: string, lastId: string): boolean {
  const count = COUNT.exec(id)?.[1];
  const last = COUNT.exec(lastId)?.[1];
  if (count === undefined || last === undefined) return false;
  return count.length === last.length
    ? count <= last
    : count.length < last.length;
}
