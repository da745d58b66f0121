/** Counts equal words, as in `2 serving, 1 draining`, in order of first use. */
export function countBy(words: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const word of words) counts.set(word, (counts.get(word) ?? 0) + 1);
  return [...counts].map(([word, count]) => `${count} ${word}`).join(', ');
}
