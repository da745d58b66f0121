/** Groups of parts of prompts, found by the parts of a prompt. */
export class TraitGroups {
  /** Groups by the first of their parts and by their fingerprint. */
  private readonly byFirst = new Map<string, Map<string, readonly string[]>>();

  /** Lists all groups. */
  list(): (readonly string[])[] {
    return [...this.byFirst.values()].flatMap(groups => [...groups.values()]);
  }

  /** @param group Parts, of which a prompt has to have all. */
  add(fingerprint: string, group: readonly string[]): void {
    const [first] = group;
    if (first === undefined) return;
    const groups = this.byFirst.get(first) ?? new Map<string, string[]>();
    this.byFirst.set(first, groups.set(fingerprint, group));
  }

  remove(fingerprint: string, [first = '']: readonly string[]): void {
    const groups = this.byFirst.get(first);
    groups?.delete(fingerprint);
    if (groups?.size === 0) this.byFirst.delete(first);
  }

  /** Lists the fingerprints of the groups whose parts all occur in a prompt. */
  listIn(parts: readonly string[]): string[] {
    if (this.byFirst.size === 0) return [];
    return parts
      .flatMap(part => [...(this.byFirst.get(part) ?? [])])
      .filter(([, group]) => group.every(part => parts.includes(part)))
      .map(([fingerprint]) => fingerprint);
  }
}
