import type {OrderState} from '@parsleywood/schema/orders';
import type {MemberState} from './member_state.js';
import {View} from './view.js';

/** Extracts the state of the sender from its reply to a state query. */
export function readMemberState(
  incarnation: string,
  state: OrderState,
): MemberState {
  return {
    incarnation,
    viewNumber: state.view?.number ?? 0,
    complete: state.complete,
    activeView: state.activeView,
    history: state.history.map(view => View.fromMessage(view)),
    memoryFromMs: state.memoryFromMs,
    formation: state.formation,
  };
}
