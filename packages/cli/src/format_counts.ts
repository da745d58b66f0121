/**
 * Counts equal labels and lists them in order of first occurrence, such as
 * `2 serving, 1 draining`. Returns an empty string without labels.
 */
export function formatCounts(labels: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const label of labels) counts.set(label, (counts.get(label) ?? 0) + 1);
  return [...counts].map(([label, count]) => `${count} ${label}`).join(', ');
}
