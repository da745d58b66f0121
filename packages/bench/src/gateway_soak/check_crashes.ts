import type {CrashLedger} from './crash_ledger.js';
import type {SoakCall} from './soak_call.js';

/** Crashes after which a request may reach upstreams only a few times more. */
const CRASHES = 3;
/** The same for prompts with a part that crashes upstreams. */
const PART_CRASHES = 5;
const PART_PREFIX = 'part ';
const MAX_LATE_ARRIVALS = 3;
/** Time for the knowledge of the last of these crashes to spread. */
const SPREAD_MS = 3_000;
const BLOCKED_STATUS = 422;

/** Finds requests that crash on and on, and sound ones that are refused for it. */
export function checkCrashes(
  calls: readonly SoakCall[],
  ledger: CrashLedger,
): string[] {
  const found: string[] = [];
  for (const body of ledger.bodies) {
    const crashes = body.startsWith(PART_PREFIX) ? PART_CRASHES : CRASHES;
    const late = ledger.countReachedAfter(body, crashes, SPREAD_MS);
    if (late > MAX_LATE_ARRIVALS) {
      found.push(
        `${body} reached upstreams ${late} times after ${crashes} crashes`,
      );
    }
  }
  for (const {id, isCrashing, status} of calls) {
    if (!isCrashing && status === BLOCKED_STATUS) {
      found.push(`${id} was refused as one that crashes upstreams`);
    }
  }
  return found;
}
