import {pause} from '@parsleywood/stand-ins';
import {request} from 'undici';
import type {SiteReport} from './site_report.js';

const QUIET_WITHIN_MS = 30_000;
const POLL_MS = 500;

interface EngineState {
  readonly usedTokens: number;
  readonly cachedTokens: number;
}

/** Finds engines whose memory is not their cache alone after a quiet time. */
export async function checkEngines(site: SiteReport): Promise<string[]> {
  const untilMs = performance.now() + QUIET_WITHIN_MS;
  for (;;) {
    const violations: string[] = [];
    for (const {name, url} of site.engines) {
      const {body} = await request(`${url}/state`);
      const state = (await body.json()) as EngineState;
      if (state.usedTokens === state.cachedTokens) continue;
      violations.push(`${name}: memory is held: ${JSON.stringify(state)}`);
    }
    if (violations.length === 0) return violations;
    if (performance.now() > untilMs) return violations;
    await pause(POLL_MS);
  }
}
