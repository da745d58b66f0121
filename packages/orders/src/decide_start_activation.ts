import type {Activation} from './activation.js';
import type {MemberState} from './member_state.js';
import {parseStartTime} from './parse_start_time.js';
import type {RecoveryProgress} from './recovery_progress.js';
import type {View} from './view.js';

type Replies = [string, MemberState][];

/**
 * Decides whether a host without claim records, such as after a restart, may
 * vote in the current view. It may once it has the records of a majority of
 * active members, or if all members started without records. Fewer active
 * members are not sufficient, even if all reply: they share a host with every
 * quorum, but not with every set of votes that led to a `ran: no` answer. If a
 * majority has lost its records, a host that waited long enough may vote for
 * keys newer than the loss.
 *
 * @return Undefined as long as the host may not vote.
 */
export function decideStartActivation(
  progress: RecoveryProgress,
): Activation | undefined {
  const {view, self, crashVector} = progress;
  const others = view.members.filter(host => host !== self.host);
  const replies: Replies = [...progress.replies].filter(
    ([host, state]) =>
      others.includes(host) &&
      state.viewNumber === view.number &&
      crashVector.isCurrent(host, state.incarnation),
  );
  const states = replies.map(([, state]) => state);
  const active = states.filter(
    state => state.complete && state.activeView === view.number,
  );
  const allReplied = replies.length === others.length;
  if (active.length >= view.quorumSize) {
    return {
      memoryFromMs: Math.max(...active.map(state => state.memoryFromMs)),
    };
  }
  if (allReplied && states.every(state => !state.complete)) {
    return formView(progress, replies);
  }
  if (allReplied && progress.waitExpired && isRecoveryBlocked(view, states)) {
    const startTimes = listStartTimes(progress, replies);
    const coveredFromTimes = active.map(state => state.memoryFromMs);
    return {memoryFromMs: Math.max(...startTimes, ...coveredFromTimes)};
  }
  return joinFormation(progress, active);
}

/**
 * Whether waiting cannot recover more records: all members that have records
 * already vote in the view, and all others have lost theirs.
 */
function isRecoveryBlocked(
  view: View,
  states: readonly MemberState[],
): boolean {
  return (
    states.some(state => state.complete) &&
    states.every(state => !state.complete || state.activeView === view.number)
  );
}

/** Lists the start times of this host and of the others without records. */
function listStartTimes({self}: RecoveryProgress, replies: Replies): number[] {
  const lost = replies.filter(([, state]) => !state.complete);
  return [
    parseStartTime(self.id),
    ...lost.map(([, {incarnation}]) => parseStartTime(incarnation)),
  ];
}

function formView(progress: RecoveryProgress, replies: Replies): Activation {
  const members = replies.map(([host, {incarnation}]) => ({host, incarnation}));
  members.push({host: progress.self.host, incarnation: progress.self.id});
  return {
    memoryFromMs: Math.max(...listStartTimes(progress, replies)),
    formation: {view: progress.view.number, members},
  };
}

function joinFormation(
  progress: RecoveryProgress,
  active: readonly MemberState[],
): Activation | undefined {
  const {self, view} = progress;
  const member = active.find(
    ({formation}) =>
      formation?.view === view.number &&
      formation.members.some(
        ({host, incarnation}) => host === self.host && incarnation === self.id,
      ),
  );
  if (!member) return undefined;
  return {memoryFromMs: member.memoryFromMs, formation: member.formation};
}
