import type {Activation} from './activation.js';
import type {MemberState} from './member_state.js';
import {readStartTime} from './parse_start_time.js';
import type {Standing} from './recovery_progress.js';
import type {View} from './view.js';

type Replies = [string, MemberState][];

/**
 * Decides whether a host that voted in an older view may vote in the present
 * one: a majority of every view that may have been active since has closed it
 * and told its claims. A host that waited long enough counts closures by hosts
 * that lost their memory, and votes only for keys newer than the loss.
 */
export function closeOlderViews(standing: Standing): Activation | undefined {
  const {crashVector} = standing;
  const replies: Replies = [...standing.replies].filter(([host, state]) =>
    crashVector.isCurrent(host, state.incarnation),
  );
  const complete = replies.filter(([, state]) => state.complete);
  if (isClosed(standing, complete, complete)) {
    return makeActivation(standing, complete);
  }
  const all = standing.view.members.every(
    host => host === standing.self.host || standing.replies.has(host),
  );
  if (all && standing.patient && isClosed(standing, complete, replies)) {
    return makeActivation(standing, replies);
  }
  return undefined;
}

function isClosed(
  standing: Standing,
  complete: Replies,
  closers: Replies,
): boolean {
  const {view, resigned, self} = standing;
  const closed = new Set(closers.map(([host]) => host));
  closed.add(self.host);
  for (const host of resigned.listHosts()) closed.add(host);
  const states = complete.map(([, state]) => state);
  const base = Math.max(
    standing.activeView,
    ...states.map(state => state.activeView),
  );
  return listViews(standing, states)
    .filter(({number}) => number >= base && number < view.number)
    .every(
      ({members, quorum}) =>
        members.filter(host => closed.has(host)).length >= quorum,
    );
}

function listViews(standing: Standing, states: readonly MemberState[]): View[] {
  return [...standing.history, ...states.flatMap(state => state.history)];
}

function makeActivation(standing: Standing, closers: Replies): Activation {
  const starts = closers.map(([, state]) =>
    state.complete ? state.memoryFromMs : readStartTime(state.incarnation),
  );
  return {memoryFromMs: Math.max(standing.memoryFromMs, ...starts)};
}
