import type {GatewaySpan} from './gateway_span.js';
import type {SoakCall} from './soak_call.js';

const OK_STATUS = 200;
/** Time in which a gateway notices that it reaches no upstream, and callers leave it. */
const NOTICE_MS = 3_000;
/** Calls on either side from which shares are compared. */
const MIN_CALLS = 12;
/** Served share at a gateway, of that at the others meanwhile. */
const MIN_PART = 2 / 3;
/** Failed calls at a gateway that are allowed: so many, and a part of all calls. */
const MAX_FAILED = 10;
const MAX_FAILED_PART = 1 / 50;
/** Time after which a call that is refused counts as held. */
const HELD_MS = 1_000;

/**
 * Finds gateways that reached no upstream for a while and, beside others that did,
 * served callers of the directory less often, or held calls that they refused.
 */
export function checkCuts(
  calls: readonly SoakCall[],
  cuts: readonly GatewaySpan[],
  stops: readonly GatewaySpan[],
): string[] {
  return cuts.flatMap(cut => {
    const fromMs = cut.fromMs + NOTICE_MS;
    const stopped = new Set(
      stops
        .filter(stop => stop.fromMs < cut.untilMs && fromMs < stop.untilMs)
        .map(({gateway}) => gateway),
    );
    // Another gateway that is cut off meanwhile serves as little.
    const isCutOff = (gateway: number): boolean =>
      cuts.some(
        other =>
          other.gateway === gateway &&
          other.fromMs < cut.untilMs &&
          cut.fromMs < other.untilMs,
      );
    const during = calls.filter(
      ({startedAtMs, isCrashing, gateway}) =>
        !isCrashing &&
        fromMs <= startedAtMs &&
        startedAtMs < cut.untilMs &&
        !stopped.has(gateway),
    );
    const here = during.filter(({gateway}) => gateway === cut.gateway);
    const elsewhere = during.filter(({gateway}) => !isCutOff(gateway));
    if (elsewhere.length < MIN_CALLS || countServed(elsewhere) === 0) return [];
    return [
      ...checkShares(cut, here.filter(isAsking), elsewhere.filter(isAsking)),
      ...checkHeld(cut, here),
    ];
  });
}

function checkShares(
  {gateway}: GatewaySpan,
  here: readonly SoakCall[],
  elsewhere: readonly SoakCall[],
): string[] {
  const failed = here.length - countServed(here);
  const all = here.length + elsewhere.length;
  if (failed <= MAX_FAILED + MAX_FAILED_PART * all) return [];
  if (getShare(here) >= MIN_PART * getShare(elsewhere)) return [];
  return [
    `g${gateway} without upstreams served ${describe(here)}, others ${describe(elsewhere)}`,
  ];
}

function checkHeld(cut: GatewaySpan, here: readonly SoakCall[]): string[] {
  const held = here.filter(
    call => !isServed(call) && call.endedAtMs - call.startedAtMs > HELD_MS,
  );
  return held.length === 0
    ? []
    : [`g${cut.gateway} without upstreams held ${held.length} calls in vain`];
}

function isAsking({followsDirectory}: SoakCall): boolean {
  return followsDirectory;
}

function isServed({status, isCut}: SoakCall): boolean {
  return status === OK_STATUS && !isCut;
}

function getShare(calls: readonly SoakCall[]): number {
  return calls.length === 0 ? 0 : countServed(calls) / calls.length;
}

function describe(calls: readonly SoakCall[]): string {
  return `${countServed(calls)} of ${calls.length}`;
}

function countServed(calls: readonly SoakCall[]): number {
  return calls.filter(isServed).length;
}
