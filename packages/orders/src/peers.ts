import type {OrderIncarnation} from '@parsleywood/schema/orders';
import type {CrashVector} from './crash_vector.js';
import {PeerState} from './peer_state.js';

/** The latest failure detector state of each peer. */
export class Peers {
  private readonly states = new Map<string, PeerState>();

  constructor(private readonly crashVector: CrashVector) {}

  update(host: string, incarnation: string, state: PeerState): void {
    if (!this.crashVector.isCurrent(host, incarnation)) return;
    this.crashVector.observe(host, incarnation);
    this.states.set(host, state);
  }

  isReachable(host: string): boolean {
    const state = this.states.get(host) ?? PeerState.REACHABLE;
    return state === PeerState.REACHABLE;
  }

  isDead(host: string): boolean {
    return this.states.get(host) === PeerState.DEAD;
  }

  /** Whether an incarnation is the current one of its host and not dead. */
  mayAnswer({host, incarnation}: OrderIncarnation): boolean {
    return this.crashVector.isCurrent(host, incarnation) && !this.isDead(host);
  }
}
