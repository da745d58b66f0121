import type {Activation} from './activation.js';
import type {MemberState} from './member_state.js';
import {parseStartTime} from './parse_start_time.js';
import type {RecoveryProgress} from './recovery_progress.js';
import type {View} from './view.js';

type Replies = [string, MemberState][];

/**
 * Decides whether a host that voted in an older view may vote in the current
 * one. A majority of each view that may have been active since must have left
 * that view and sent its claim records. A host that waited long enough also
 * counts hosts that lost their records, and then votes only for keys newer than
 * the loss.
 *
 * @return Undefined as long as the host may not vote.
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
  closedBy: Replies,
): boolean {
  const {view, resignations, self} = progress;
  const closedHosts = new Set(closedBy.map(([host]) => host));
  closedHosts.add(self.host);
  for (const host of resignations.listHosts()) closedHosts.add(host);
  const completeStates = complete.map(([, state]) => state);
  const newestActiveView = Math.max(
    progress.activeView,
    ...completeStates.map(state => state.activeView),
  );
  return listViews(progress, completeStates)
    .filter(({number}) => number >= newestActiveView && number < view.number)
    .every(
      ({members, quorumSize}) =>
        members.filter(host => closedHosts.has(host)).length >= quorumSize,
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
  closedBy: Replies,
): Activation {
  const coveredFromTimes = closedBy.map(([, state]) =>
    state.complete ? state.memoryFromMs : parseStartTime(state.incarnation),
  );
  return {memoryFromMs: Math.max(progress.memoryFromMs, ...coveredFromTimes)};
}
