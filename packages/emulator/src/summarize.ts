import type {LoadPattern} from '@parsleywood/schema/load_pattern';
import type {Emulation} from './emulation.js';
import type {KindSummary} from './kind_summary.js';
import type {PolicyName} from './policy_name.js';
import {RequestOutcome} from './request_outcome.js';
import type {RequestResult} from './request_result.js';

const WINDOW_MS = 2_000;
/** What a late answer is worth against one in time. */
const LATE_PART = 0.25;
/** Worth grows with the size of a request, from this part up to the most. */
const FIXED_PART = 0.3;
const MOST_PART = 4;
/** An answer token counts as this many prompt tokens. */
const ANSWER_WEIGHT = 10;

type Kind = LoadPattern['kinds'][number];

/** Sums up what became of the requests of a run. */
export function summarize(
  pattern: LoadPattern,
  policy: PolicyName,
  seed: number,
  results: readonly RequestResult[],
): Emulation {
  const count = Math.ceil(pattern.durationMs / WINDOW_MS);
  const earned = new Array<number>(count).fill(0);
  const asked = new Array<number>(count).fill(0);
  for (const result of results) {
    const kind = pattern.kinds.find(({name}) => name === result.kind);
    if (kind === undefined) continue;
    const worth = weigh(kind, result);
    const at = Math.min(count - 1, Math.floor(result.arrivedAtMs / WINDOW_MS));
    asked[at] = (asked[at] ?? 0) + worth;
    earned[at] = (earned[at] ?? 0) + worth * partEarned(result.outcome);
  }
  return {
    pattern: pattern.name,
    policy,
    seed,
    kinds: pattern.kinds.map(({name}) =>
      summarizeKind(
        name,
        results.filter(({kind}) => kind === name),
      ),
    ),
    worth: sum(earned) / (sum(asked) || 1),
    windows: earned.map((one, at) => one / (asked[at] || 1)),
  };
}

function summarizeKind(
  kind: string,
  results: readonly RequestResult[],
): KindSummary {
  const count = (outcome: RequestOutcome): number =>
    results.filter(result => result.outcome === outcome).length;
  const firsts = results
    .flatMap(({firstMs}) => firstMs ?? [])
    .sort((left, right) => left - right);
  return {
    kind,
    asked: results.length,
    inTime: count(RequestOutcome.IN_TIME),
    late: count(RequestOutcome.LATE),
    refused: count(RequestOutcome.REFUSED),
    failed: count(RequestOutcome.FAILED),
    firstMedianMs: Math.round(firsts[Math.floor(firsts.length / 2)] ?? 0),
  };
}

function weigh(
  kind: Kind,
  {promptTokens, answerTokens}: RequestResult,
): number {
  const size = promptTokens + ANSWER_WEIGHT * answerTokens;
  const mean = kind.promptTokens + ANSWER_WEIGHT * kind.answerTokens;
  const part = FIXED_PART + (1 - FIXED_PART) * (size / mean);
  return kind.worth * Math.min(part, MOST_PART);
}

function partEarned(outcome: RequestOutcome): number {
  if (outcome === RequestOutcome.IN_TIME) return 1;
  return outcome === RequestOutcome.LATE ? LATE_PART : 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
