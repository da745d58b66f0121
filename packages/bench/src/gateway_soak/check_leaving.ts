import type {CheckedUpstream} from './checked_upstream.js';
import type {GatewaySpan} from './gateway_span.js';
import type {SoakCall} from './soak_call.js';

const OK_STATUS = 200;
/** Time in which the gateways hear from each other that an upstream leaves. */
const DRAIN_MS = 1_500;

/**
 * Finds upstreams that said that they leave, and got requests which callers sent
 * later than all gateways had to know it.
 *
 * @param impairments Times in which gateways were stopped or cut off.
 */
export function checkLeaving(
  upstreams: readonly CheckedUpstream[],
  calls: readonly SoakCall[],
  impairments: readonly GatewaySpan[],
): string[] {
  const callsById = new Map(calls.map(call => [call.id, call]));
  const reached = new Map<string, number>();
  for (const {id} of upstreams.flatMap(({arrivals}) => arrivals)) {
    reached.set(id, (reached.get(id) ?? 0) + 1);
  }
  const isImpaired = (at: number, fromMs: number, untilMs: number): boolean =>
    impairments.some(
      one => one.gateway === at && one.fromMs < untilMs && fromMs < one.untilMs,
    );
  return upstreams.flatMap(({id, arrivals, leaves}) =>
    leaves.flatMap(({fromMs, untilMs}) => {
      const inLeave = arrivals
        .filter(({atMs}) => fromMs < atMs && atMs < untilMs)
        .flatMap(({id: call}) => callsById.get(call) ?? []);
      // Of calls with several attempts it is not known whose answer was passed on.
      const passedOn = inLeave.filter(
        call =>
          call.status === OK_STATUS &&
          !call.isCut &&
          reached.get(call.id) === 1 &&
          !isImpaired(call.gateway, fromMs, call.endedAtMs + DRAIN_MS),
      );
      const heardMs = Math.min(...passedOn.map(call => call.endedAtMs));
      const late = inLeave.filter(
        call =>
          call.startedAtMs > heardMs + DRAIN_MS &&
          !isImpaired(call.gateway, fromMs, untilMs),
      );
      if (late.length === 0) return [];
      return [`${id} got ${late.length} requests after it said that it leaves`];
    }),
  );
}
