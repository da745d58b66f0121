import {CheckedUpstream} from './checked_upstream.js';
import type {GatewayStop} from './gateway_stop.js';
import type {SoakCall} from './soak_call.js';
import {soakEvents} from './soak_events.js';

/** Statuses that promise that a request did not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Statuses for what no version of the site allows. */
const DENIED = new Set([400, 401, 403, 404, 405, 413]);
const OK_STATUS = 200;
/** Time beyond the limit for an answer on a busy machine. */
const SLACK_MS = 1_000;
/** Part of the requests that must be served once faults have ended. */
const RECOVERED_PART = 0.95;

/** Finds what must not happen and did. */
export function checkCalls(
  calls: readonly SoakCall[],
  runs: ReadonlyMap<string, number>,
  stops: readonly GatewayStop[],
  calmFromMs: number,
): string[] {
  const found = calls.flatMap(call => [
    ...checkRuns(call, runs.get(call.id) ?? 0),
    ...checkBody(call),
    ...checkTime(call, stops),
  ]);
  const calm = calls.filter(
    ({startedAtMs, isCrashing}) => startedAtMs > calmFromMs && !isCrashing,
  );
  const served = calm.filter(({status}) => status === OK_STATUS);
  if (served.length < RECOVERED_PART * calm.length || calm.length === 0) {
    found.push(`${served.length} of ${calm.length} served after the faults`);
  }
  return found;
}

function checkRuns({id, route, status}: SoakCall, runs: number): string[] {
  if (route.kind === 'unsafe' && runs > 1) {
    return [`order ${id} ran ${runs} times`];
  }
  if (status === OK_STATUS && runs === 0) {
    return [`${id} was answered and did not run`];
  }
  if (NOT_RUN.has(status) && runs > 0) {
    return [`${id} was answered ${status}, though it ran`];
  }
  if (DENIED.has(status)) return [`${id} was denied with ${status}`];
  return [];
}

function checkBody(call: SoakCall): string[] {
  const {id, route, status, body, bodyBytes, isLarge, isCut} = call;
  if (status !== OK_STATUS) return [];
  if (route.kind !== 'stream') {
    const expected = `ran ${id}`;
    const length = isLarge ? CheckedUpstream.largeBytes : expected.length;
    const isRight =
      isCut || (body.trimEnd() === expected && bodyBytes === length);
    return isRight ? [] : [`${id} got another answer: ${body.slice(0, 40)}`];
  }
  const events = Array.from({length: CheckedUpstream.streamEvents}, (_, at) =>
    soakEvents.describe(id, at + 1),
  );
  const whole = events.join('');
  if (!whole.startsWith(body)) return [`${id} got other events: ${body}`];
  const isShort = !isCut && body.length < whole.length;
  return isShort ? [`${id} ended as whole after ${body.length} bytes`] : [];
}

function checkTime(
  {id, route, gateway, status, startedAtMs, endedAtMs}: SoakCall,
  stops: readonly GatewayStop[],
): string[] {
  const wasStopped = stops.some(
    stop =>
      stop.gateway === gateway &&
      stop.fromMs < endedAtMs &&
      stop.untilMs > startedAtMs,
  );
  const tookMs = Math.round(endedAtMs - startedAtMs);
  if (wasStopped || tookMs <= route.timeoutMs + SLACK_MS) return [];
  return [
    `${id} on ${route.path} of g${gateway}: ${status} after ${tookMs} ms`,
  ];
}
