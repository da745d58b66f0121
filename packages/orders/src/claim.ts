import type {Call} from './call.js';
import {ClaimState} from './claim_state.js';
import type {Tally} from './tally.js';

/** A claim of this host on one order, with the votes collected for it. */
export class Claim {
  state = ClaimState.COLLECTING;
  /** Calls that wait for the claim, by call id. */
  readonly calls = new Map<string, Call>();
  /** Monotonic time at which the calls fail as undecided, in milliseconds. */
  giveUpAtMs = 0;
  /** Monotonic time at which the claim is sent again, in milliseconds. */
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
