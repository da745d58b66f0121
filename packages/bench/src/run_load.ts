import {fileURLToPath} from 'node:url';
import {Child} from './child.js';
import type {LoadPlan} from './load_plan.js';
import type {LoadResult} from './load_result.js';

const MAIN = fileURLToPath(new URL('./load_main.js', import.meta.url));

/** Sends a load from a process of its own. */
export async function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const child = new Child('load', [MAIN, JSON.stringify(plan)]);
  return JSON.parse(await child.readLine()) as LoadResult;
}
