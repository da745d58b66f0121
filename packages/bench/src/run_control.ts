import {pause} from '@parsleywood/stand-ins';
import {compareReadings} from './compare_readings.js';
import type {ControlPlan} from './control_plan.js';
import type {ControlResult} from './control_result.js';
import type {ControlSample} from './control_sample.js';
import {ControlSite} from './control_site.js';
import {findMedian} from './find_median.js';

const SETTLE_MS = 12_000;
const WINDOW_MS = 10_000;
const CHANGE_WINDOW_MS = 5_000;
const CHANGED_KEEP_HOSTS_MS = 2_001;
const PERCENT = 100;
const MS_PER_S = 1_000;

/** Measures the cost of control at a site without callers. */
export async function runControl(
  plan: ControlPlan,
  windows: number,
): Promise<ControlResult> {
  const site = new ControlSite(plan);
  try {
    await site.start();
    await pause(SETTLE_MS);
    const samples: ControlSample[] = [];
    for (let window = 0; window < windows; window++) {
      const run = () => pause(WINDOW_MS);
      samples.push(await measureWindow(site, plan.hosts, run));
    }
    const residentMb = await site.readMemory();
    const change = await measureChange(site, plan.hosts, samples);
    return {plan, samples, residentMb, ...change};
  } finally {
    await site.stop();
  }
}

async function measureWindow(
  site: ControlSite,
  hosts: number,
  run: () => Promise<void>,
): Promise<ControlSample> {
  const before = await site.read();
  await run();
  return compareReadings(before, await site.read(), hosts);
}

/** Cost beyond that of a quiet window of the same length. */
async function measureChange(
  site: ControlSite,
  hosts: number,
  quiet: readonly ControlSample[],
): Promise<Pick<ControlResult, 'changeProcessorMs' | 'changeBytes'>> {
  const sample = await measureWindow(site, hosts, async () => {
    await site.changeBase(CHANGED_KEEP_HOSTS_MS);
    await pause(CHANGE_WINDOW_MS);
  });
  const usual = (name: keyof ControlSample): number =>
    findMedian(quiet.map(one => one[name]));
  const processor = sample.processorPercent - usual('processorPercent');
  const bytes = sample.bytesPerS - usual('bytesPerS');
  return {
    changeProcessorMs: (processor / PERCENT) * CHANGE_WINDOW_MS,
    changeBytes: (bytes * CHANGE_WINDOW_MS) / MS_PER_S,
  };
}
