import type {Activation} from './activation.js';
import type {MemberState} from './member_state.js';
import type {Standing} from './standing.js';
import type {View} from './view.js';

/**
 * Decides whether a host that voted in an older view may vote in the present
 * one: a majority of every view that may have been active since has closed it
 * and told its claims.
 */
export function closeOlderViews(standing: Standing): Activation | undefined {
  const {view, crashVector} = standing;
  const replies = [...standing.replies].filter(
    ([host, state]) =>
      state.complete && crashVector.isCurrent(host, state.incarnation),
  );
  const states = replies.map(([, state]) => state);
  const base = Math.max(
    standing.activeView,
    ...states.map(state => state.activeView),
  );
  const closed = new Set(replies.map(([host]) => host));
  closed.add(standing.self.host);
  for (const [host, incarnation] of standing.resigned) {
    if (crashVector.isCurrent(host, incarnation)) closed.add(host);
  }
  const older = listOlderViews(standing, states).filter(
    ({number}) => number >= base && number < view.number,
  );
  const allClosed = older.every(
    ({members, quorum}) =>
      members.filter(host => closed.has(host)).length >= quorum,
  );
  if (!allClosed) return undefined;
  const starts = states.map(state => state.memoryFromMs);
  return {memoryFromMs: Math.max(standing.memoryFromMs, ...starts)};
}

function listOlderViews(
  standing: Standing,
  states: readonly MemberState[],
): View[] {
  return [...standing.history, ...states.flatMap(state => state.history)];
}
