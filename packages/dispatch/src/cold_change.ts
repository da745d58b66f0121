import type {ColdSource} from './cold_source.js';

/** An upstream that became cold or warm, as this host sees it. */
export interface ColdChange {
  readonly upstream: string;
  readonly isCold: boolean;
  readonly source: ColdSource;
  /** Time for which it stays cold, in milliseconds; 0 once it is warm. */
  readonly remainingMs: number;
  /** Time since it became cold, in milliseconds. */
  readonly ageMs: number;
}
