import type {Activation} from './activation.js';
import type {MemberState} from './member_state.js';
import {readStartTime} from './parse_start_time.js';
import type {Standing} from './recovery_progress.js';
import type {View} from './view.js';

type Replies = [string, MemberState][];

/**
 * Decides whether a host without memory may vote in the present view: it has
 * the claims of a majority of active members, or all members started without
 * memory. Fewer active members would not do, even if all answered: they share
 * a host with every quorum, but not with every set of votes behind `ran: no`.
 * Where a majority has lost its memory, a host
 * that waited long enough votes for keys newer than the loss.
 */
export function recoverMemory(standing: Standing): Activation | undefined {
  const {view, self, crashVector} = standing;
  const others = view.members.filter(host => host !== self.host);
  const replies: Replies = [...standing.replies].filter(
    ([host, state]) =>
      others.includes(host) &&
      state.viewNumber === view.number &&
      crashVector.isCurrent(host, state.incarnation),
  );
  const states = replies.map(([, state]) => state);
  const active = states.filter(
    state => state.complete && state.activeView === view.number,
  );
  const all = replies.length === others.length;
  if (active.length >= view.quorum) {
    return {
      memoryFromMs: Math.max(...active.map(state => state.memoryFromMs)),
    };
  }
  if (all && states.every(state => !state.complete)) {
    return formView(standing, replies);
  }
  if (all && standing.patient && isStranded(view, states)) {
    const starts = findStarts(standing, replies);
    const memories = active.map(state => state.memoryFromMs);
    return {memoryFromMs: Math.max(...starts, ...memories)};
  }
  return joinFormation(standing, active);
}

/** Whether some members vote, all others lost their memory, and none waits. */
function isStranded(view: View, states: readonly MemberState[]): boolean {
  return (
    states.some(state => state.complete) &&
    states.every(state => !state.complete || state.activeView === view.number)
  );
}

/** When this host and the others without memory started. */
function findStarts({self}: Standing, replies: Replies): number[] {
  const lost = replies.filter(([, state]) => !state.complete);
  return [
    readStartTime(self.id),
    ...lost.map(([, {incarnation}]) => readStartTime(incarnation)),
  ];
}

function formView(standing: Standing, replies: Replies): Activation {
  const members = replies.map(([host, {incarnation}]) => ({host, incarnation}));
  members.push({host: standing.self.host, incarnation: standing.self.id});
  return {
    memoryFromMs: Math.max(...findStarts(standing, replies)),
    formation: {view: standing.view.number, members},
  };
}

function joinFormation(
  standing: Standing,
  active: readonly MemberState[],
): Activation | undefined {
  const {self, view} = standing;
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
