/** Computed prompt blocks kept for another engine until deleted. */
export interface KvExport {
  readonly id: string;
  /** Host and incarnation of the exported attempt. */
  readonly owner: string;
  readonly tokens: number;
  readonly blocks: readonly string[];
}
