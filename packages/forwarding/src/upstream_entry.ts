import type {UpstreamStage} from './upstream_stage.js';

/** What an upstream has published of itself. */
export interface UpstreamEntry {
  /** Name of one start of the upstream. */
  readonly id: string;
  readonly service: string;
  /** IP:port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly stage: UpstreamStage;
  /** Requests that it runs at once. */
  readonly slots: number;
}
