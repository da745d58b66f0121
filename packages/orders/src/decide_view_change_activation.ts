import type {Activation} from './activation.js';
import type {MemberState} from './member_state.js';
import {parseStartTime} from './parse_start_time.js';
import type {RecoveryProgress} from './recovery_progress.js';
import type {View} from './view.js';

type Replies = [string, MemberState][];

/**
 * Decides whether a host that voted in an older view may vote in the present
 * one: a majority of every view that may have been active since has closed it
 * and told its claims. A host that waited long enough counts closures by hosts
 * that lost their memory, and votes only for keys newer than the loss.
 */
export function decideViewChangeActivation(
  progress: RecoveryProgress,
): Activation | undefined {
  const {crashVector} = progress;
  const replies: Replies = [...progress.replies].filter(([host, state]) =>
    crashVector.isCurrent(host, state.incarnation),
  );
  const complete = replies.filter(([, state]) => state.complete);
  if (areOlderViewsClosed(progress, complete, complete)) {
    return makeActivation(progress, complete);
  }
  const allReplied = progress.view.members.every(
    host => host === progress.self.host || progress.replies.has(host),
  );
  if (
    allReplied &&
    progress.waitExpired &&
    areOlderViewsClosed(progress, complete, replies)
  ) {
    return makeActivation(progress, replies);
  }
  return undefined;
}

function areOlderViewsClosed(
  progress: RecoveryProgress,
  complete: Replies,
  closers: Replies,
): boolean {
  const {view, resignations, self} = progress;
  const closedHosts = new Set(closers.map(([host]) => host));
  closedHosts.add(self.host);
  for (const host of resignations.listHosts()) closedHosts.add(host);
  const completeStates = complete.map(([, state]) => state);
  const oldestOpenView = Math.max(
    progress.activeView,
    ...completeStates.map(state => state.activeView),
  );
  return listViews(progress, completeStates)
    .filter(({number}) => number >= oldestOpenView && number < view.number)
    .every(
      ({members, quorumSize: quorum}) =>
        members.filter(host => closedHosts.has(host)).length >= quorum,
    );
}

function listViews(
  progress: RecoveryProgress,
  states: readonly MemberState[],
): View[] {
  return [...progress.history, ...states.flatMap(state => state.history)];
}

function makeActivation(
  progress: RecoveryProgress,
  closers: Replies,
): Activation {
  const coveredFromTimes = closers.map(([, state]) =>
    state.complete ? state.memoryFromMs : parseStartTime(state.incarnation),
  );
  return {memoryFromMs: Math.max(progress.memoryFromMs, ...coveredFromTimes)};
}
