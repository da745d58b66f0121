/** Events of one run, each as an upstream writes it, and their ids. */
export interface DrawnStream {
  readonly ids: readonly string[];
  readonly events: readonly string[];
}
