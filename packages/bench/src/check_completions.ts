import type {CompletionBounds} from './completion_bounds.js';
import type {CompletionRecord} from './completion_record.js';

/** Time that an answer may take to reach the caller, in milliseconds. */
const ANSWER_SLACK_MS = 1_000;

/** Finds completions that broke a promise. */
export function checkCompletions(
  completions: readonly CompletionRecord[],
  {limitMs, longestPauseMs, killsAtMs}: CompletionBounds,
): string[] {
  const violations: string[] = [];
  for (const {expected, result, sentAtMs} of completions) {
    const {requestId, status, whole, text, errorKind, totalMs} = result;
    const name = `completion ${requestId} (status ${status})`;
    if (whole && text !== expected) {
      violations.push(`${name}: not its own whole answer`);
    }
    if (!expected.startsWith(text)) {
      violations.push(`${name}: text of another answer`);
    }
    if (!whole && errorKind === undefined) {
      violations.push(`${name}: ended without a final or an error event`);
    }
    const endedAtMs = sentAtMs + totalMs;
    const killed = killsAtMs.some(
      atMs => atMs >= sentAtMs && atMs <= endedAtMs + ANSWER_SLACK_MS,
    );
    if (errorKind?.startsWith('connection') && !killed) {
      violations.push(`${name}: cut off though no host was killed`);
    }
    // A host that is paused cannot answer until it runs again.
    if (totalMs > limitMs + longestPauseMs + ANSWER_SLACK_MS) {
      violations.push(`${name}: took ${Math.round(totalMs)} ms`);
    }
  }
  return violations;
}
