import type {UpstreamEntry} from '../upstream_entry.js';
import {UpstreamStage} from '../upstream_stage.js';

/** Creates an upstream entry for tests; `changes` overrides the defaults. */
export function createUpstream(
  id: string,
  changes: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id,
    service: 's',
    address: '10.0.0.1:80',
    failureDomain: 'd',
    stage: UpstreamStage.READY,
    slots: 11,
    ...changes,
  };
}
