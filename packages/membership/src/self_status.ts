import type {Incarnation} from '@parsleywood/types';
import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';
import {compareIncarnations} from './compare_incarnations.js';
import type {MembershipAction} from './membership_action.js';
import {MembershipActionKind} from './membership_action_kind.js';

/** Status that this incarnation announces; refutes wrong claims about it. */
export class SelfStatus {
  private refutation = 0;
  /** Latest refutation that peers declared dead. */
  private reportedDeadRefutation = -1;
  private leaving = false;
  private stopped = false;
  private superseded = false;
  private hasUnsentChange = true;

  constructor(private readonly self: Incarnation) {}

  get incarnation(): Incarnation {
    return this.self;
  }

  markLeaving(): void {
    this.leaving = true;
  }

  markStopped(): void {
    this.stopped = true;
  }

  /** Handles a claim about this host and refutes it if it is wrong. */
  handleUpdate(update: MemberUpdate): MembershipAction[] {
    const comparison = compareIncarnations(update.incarnation, this.self.id);
    if (comparison > 0) return this.reportSuperseded(update.incarnation);
    if (comparison < 0 || this.stopped) return [];
    if (update.claim === MemberClaim.MEMBER_CLAIM_ALIVE) return [];
    if (update.refutation >= this.refutation) {
      this.refutation = update.refutation + 1;
      this.hasUnsentChange = true;
    }
    if (update.claim === MemberClaim.MEMBER_CLAIM_SUSPECTED) return [];
    return this.reportDeclaredDead(update.refutation);
  }

  /** Whether the status changed since the last call and must be gossiped. */
  takeChange(): boolean {
    const {hasUnsentChange: hadUnsentChange} = this;
    this.hasUnsentChange = false;
    return hadUnsentChange;
  }

  buildUpdate(): MemberUpdate {
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

  private reportDeclaredDead(refutation: number): MembershipAction[] {
    if (refutation <= this.reportedDeadRefutation) return [];
    this.reportedDeadRefutation = refutation;
    return [{kind: MembershipActionKind.DECLARED_DEAD}];
  }

  private reportSuperseded(incarnation: string): MembershipAction[] {
    if (this.superseded) return [];
    this.superseded = true;
    return [{kind: MembershipActionKind.SUPERSEDED, incarnation}];
  }
}
