import type {Execution} from '@parsleywood/stand-ins';
import {request} from 'undici';
import type {SiteReport} from './site_report.js';

/** Counts the executions of each order, by key, over all services. */
export async function readExecutions(
  site: SiteReport,
): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (const {url} of site.services) {
    const {body} = await request(`${url}/executions`);
    for (const {key, count} of (await body.json()) as Execution[]) {
      counts.set(key, (counts.get(key) ?? 0) + count);
    }
  }
  return counts;
}
