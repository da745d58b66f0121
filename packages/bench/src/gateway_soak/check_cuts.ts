import type {GatewaySpan} from './gateway_span.js';
import type {SoakCall} from './soak_call.js';

const OK_STATUS = 200;
/** Time in which a gateway notices that it reaches no upstream. */
const NOTICE_MS = 3_000;
/** Calls on either side from which shares are compared. */
const MIN_CALLS = 12;
/** Served share at a gateway, of that at the others meanwhile. */
const MIN_PART = 2 / 3;

/**
 * Finds gateways that reached no upstream for a while and served callers less often
 * than those beside them.
 */
export function checkCuts(
  calls: readonly SoakCall[],
  cuts: readonly GatewaySpan[],
  stops: readonly GatewaySpan[],
): string[] {
  return cuts.flatMap(cut => {
    const fromMs = cut.fromMs + NOTICE_MS;
    const impaired = new Set(
      [...stops, ...cuts.filter(one => one.gateway !== cut.gateway)]
        .filter(one => one.fromMs < cut.untilMs && fromMs < one.untilMs)
        .map(({gateway}) => gateway),
    );
    const during = calls.filter(
      ({startedAtMs, isCrashing, gateway}) =>
        !isCrashing &&
        fromMs <= startedAtMs &&
        startedAtMs < cut.untilMs &&
        !impaired.has(gateway),
    );
    const here = during.filter(({gateway}) => gateway === cut.gateway);
    const elsewhere = during.filter(({gateway}) => gateway !== cut.gateway);
    if (Math.min(here.length, elsewhere.length) < MIN_CALLS) return [];
    if (getShare(here) >= MIN_PART * getShare(elsewhere)) return [];
    return [
      `g${cut.gateway} without upstreams served ${describe(here)}, others ${describe(elsewhere)}`,
    ];
  });
}

function getShare(calls: readonly SoakCall[]): number {
  return countServed(calls) / calls.length;
}

function describe(calls: readonly SoakCall[]): string {
  return `${countServed(calls)} of ${calls.length}`;
}

function countServed(calls: readonly SoakCall[]): number {
  return calls.filter(({status, isCut}) => status === OK_STATUS && !isCut)
    .length;
}
