/** What an engine serves, or will once its loads are done. */
export interface EngineContent {
  /** Highest fencing number seen. */
  readonly fencing: number;
  readonly role: string;
  readonly loads: readonly {
    readonly kind: string;
    readonly name: string;
    readonly version: string;
    /** Whether the load is done. */
    readonly ready: boolean;
  }[];
}
