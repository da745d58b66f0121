import type {CheckedUpstream} from './checked_upstream.js';
import type {GatewaySpan} from './gateway_span.js';
import type {GatewayStop} from './gateway_stop.js';
import type {SoakCall} from './soak_call.js';
import {StopCause} from './stop_cause.js';

/** Time after which a request counts as read. */
const READ_MS = 200;
/** Time after a fault of a gateway in which its requests are excused. */
const STABLE_MS = 3_000;
/** Part of the time to stop after which requests may be broken off. */
const BREAK_OFF_PART = 5 / 6;

/** Finds requests that were read and ended without a whole answer. */
export function checkLosses(
  calls: readonly SoakCall[],
  upstreams: readonly CheckedUpstream[],
  stops: readonly GatewayStop[],
  cuts: readonly GatewaySpan[],
  stopGraceMs: number,
): string[] {
  const impairments = [
    ...stops.flatMap(stop => describeImpairment(stop, stopGraceMs)),
    ...cuts.map(cut => ({...cut, untilMs: cut.untilMs + STABLE_MS})),
  ];
  const reached = new Map<string, CheckedUpstream[]>();
  for (const upstream of upstreams) {
    for (const {id} of upstream.arrivals) {
      reached.set(id, [...(reached.get(id) ?? []), upstream]);
    }
  }
  return calls.flatMap(call => {
    const {id, route, gateway, status, startedAtMs, endedAtMs} = call;
    const tookMs = endedAtMs - startedAtMs;
    const passedOn = reached.get(id) ?? [];
    const wasRead = passedOn.length > 0 || tookMs > READ_MS;
    const isWhole = status !== 0 && !call.isCut;
    if (isWhole || !wasRead || tookMs >= route.timeoutMs) return [];
    const overlaps = ({fromMs, untilMs}: Omit<GatewaySpan, 'gateway'>) =>
      fromMs < endedAtMs && startedAtMs < untilMs;
    const isExcused =
      call.isCrashing ||
      impairments.some(one => one.gateway === gateway && overlaps(one)) ||
      passedOn.some(({outages}) => outages.some(overlaps));
    if (isExcused) return [];
    const places = passedOn.map(upstream => upstream.id).join(' and ');
    return [
      `${id} on ${route.path} of g${gateway} was lost after ${Math.round(tookMs)} ms (${status}), at ${places || 'no upstream'}`,
    ];
  });
}

/** Time in which a stop excuses lost requests. */
function describeImpairment(
  {gateway, cause, fromMs, untilMs}: GatewayStop,
  stopGraceMs: number,
): GatewaySpan[] {
  if (cause !== StopCause.TERMINATION) {
    return [{gateway, fromMs, untilMs: untilMs + STABLE_MS}];
  }
  const breakOffMs = fromMs + BREAK_OFF_PART * stopGraceMs;
  if (untilMs <= breakOffMs) return [];
  return [{gateway, fromMs: breakOffMs, untilMs}];
}
