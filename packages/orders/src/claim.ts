import type {Call} from './call.js';
import {ClaimState} from './claim_state.js';
import type {Tally} from './tally.js';

/** This host's claim on one order. */
export class Claim {
  state = ClaimState.COLLECTING;
  /** Calls that wait for the claim, by name. */
  readonly calls = new Map<string, Call>();
  /** When calls are told that the order is undecided, in milliseconds. */
  giveUpAtMs = 0;
  /** When the claim is sent again, in milliseconds. */
  resendAtMs = 0;

  constructor(
    readonly orderId: string,
    readonly account: string,
    readonly key: string,
    readonly fingerprint: string,
    readonly number: number,
    /** Wall-clock time until which the claim is kept, in milliseconds. */
    readonly keepUntilMs: number,
    public tally: Tally,
  ) {}

  needsVotes(): boolean {
    return this.state === ClaimState.COLLECTING && this.calls.size > 0;
  }
}
