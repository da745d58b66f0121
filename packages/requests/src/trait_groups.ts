/** Groups of traits, found by the traits of a request. */
export class TraitGroups {
  /** Groups by the first of their traits and by their fingerprint. */
  private readonly byFirst = new Map<string, Map<string, readonly string[]>>();

  /** Lists all groups. */
  list(): (readonly string[])[] {
    return [...this.byFirst.values()].flatMap(groups => [...groups.values()]);
  }

  /** @param group Traits, of which a request has to have all. */
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

  /** Lists the fingerprints of the groups whose traits a request all has. */
  listIn(traits: readonly string[]): string[] {
    if (this.byFirst.size === 0) return [];
    const names = new Set(traits);
    return traits
      .flatMap(trait => [...(this.byFirst.get(trait) ?? [])])
      .filter(([, group]) => group.every(trait => names.has(trait)))
      .map(([fingerprint]) => fingerprint);
  }
}
