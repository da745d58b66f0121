import type {UpstreamStage} from './upstream_stage.js';

/** Entry that an upstream publishes about itself. */
export interface UpstreamEntry {
  /** Changes with each start of the upstream. */
  readonly id: string;
  readonly service: string;
  /** Address in the form `IP:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly stage: UpstreamStage;
  /** Maximum number of requests that it runs concurrently. */
  readonly slots: number;
  /** Time of its start in Unix milliseconds; absent if it is not known. */
  readonly bornMs?: number;
  /**
   * Time for which it stays cold, in milliseconds; 0 once it is warm, absent if it does
   * not tell.
   */
  readonly coldRemainingMs?: number;
  /** Revision of the store at which it was written; absent if it is not known. */
  readonly revision?: number;
}
