import type {JoinedCrash} from './joined_crash.js';
import type {TraitCrash} from './trait_crash.js';

/** Reports of attempts that ran at a crash arrive within this time. */
const SAME_CRASH_MS = 2_000;
/** Time in which a crashed upstream is not back. */
const MIN_RESTART_MS = 300;

/** Joins the reports of each crash, the earliest crash first. */
export function joinReports(reports: readonly TraitCrash[]): JoinedCrash[] {
  const latest = new Map<string, JoinedCrash>();
  const crashes: JoinedCrash[] = [];
  const sorted = [...reports].sort(
    (left, right) => left.crashedAtMs - right.crashedAtMs,
  );
  for (const report of sorted) {
    const known = latest.get(report.upstream);
    if (known !== undefined && isSameCrash(known, report)) {
      known.reports.push(report);
      continue;
    }
    const crash = {reports: [report], atMs: report.crashedAtMs};
    latest.set(report.upstream, crash);
    crashes.push(crash);
  }
  return crashes;
}

/** Whether a report tells of a crash that is known, not of the next one. */
function isSameCrash(known: JoinedCrash, report: TraitCrash): boolean {
  const laterMs = report.crashedAtMs - known.atMs;
  if (laterMs < MIN_RESTART_MS) return true;
  return laterMs < SAME_CRASH_MS && report.startedAtMs <= known.atMs;
}
