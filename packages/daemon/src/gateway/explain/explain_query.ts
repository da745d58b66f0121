import type {RequestMetadata} from '../callers/request_metadata.js';

/** A request that is to be explained. */
export interface ExplainQuery {
  readonly metadata: RequestMetadata;
  /** Service to explain; absent for the one with the largest weight. */
  readonly service: string | undefined;
}
