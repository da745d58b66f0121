import type {Incarnation} from '@parsleywood/types';
import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';
import {compareIncarnations} from './compare_incarnations.js';
import type {MembershipAction} from './membership_action.js';
import {MembershipActionKind} from './membership_action_kind.js';

/** What this incarnation says of itself, against what others claim. */
export class SelfClaim {
  private refutation = 0;
  /** Latest refutation that peers held dead. */
  private deadRefutation = -1;
  private leaving = false;
  private stopped = false;
  private superseded = false;
  private news = true;

  constructor(private readonly self: Incarnation) {}

  get incarnation(): Incarnation {
    return this.self;
  }

  leave(): void {
    this.leaving = true;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Takes a claim about this host and refutes it if it is wrong. */
  hear(update: MemberUpdate): MembershipAction[] {
    const order = compareIncarnations(update.incarnation, this.self.id);
    if (order > 0) return this.giveWay(update.incarnation);
    if (order < 0 || this.stopped) return [];
    if (update.claim === MemberClaim.MEMBER_CLAIM_ALIVE) return [];
    if (update.refutation >= this.refutation) {
      this.refutation = update.refutation + 1;
      this.news = true;
    }
    if (update.claim === MemberClaim.MEMBER_CLAIM_SUSPECTED) return [];
    return this.learnDeath(update.refutation);
  }

  /** Whether something changed since the last call that has to be spread. */
  takeNews(): boolean {
    const {news} = this;
    this.news = false;
    return news;
  }

  describe(): MemberUpdate {
    return {
      host: this.self.host,
      incarnation: this.self.id,
      refutation: this.refutation,
      claim: this.stopped
        ? MemberClaim.MEMBER_CLAIM_STOPPED
        : MemberClaim.MEMBER_CLAIM_ALIVE,
      leaving: this.leaving,
      silentMs: 0,
    };
  }

  private learnDeath(refutation: number): MembershipAction[] {
    if (refutation <= this.deadRefutation) return [];
    this.deadRefutation = refutation;
    return [{kind: MembershipActionKind.DECLARED_DEAD}];
  }

  private giveWay(incarnation: string): MembershipAction[] {
    if (this.superseded) return [];
    this.superseded = true;
    return [{kind: MembershipActionKind.SUPERSEDED, incarnation}];
  }
}
