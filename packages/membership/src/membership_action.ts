import type {HostList} from '@parsleywood/schema/host_list';
import type {MembershipMessage} from '@parsleywood/schema/membership';
import type {MemberState} from './member_state.js';
import type {MembershipActionKind} from './membership_action_kind.js';
import type {UpstreamNews} from './upstream_news.js';

/** What membership asks its adapter to do. */
export type MembershipAction =
  /** Send one message, without answer and without repeat. */
  | {
      readonly kind: MembershipActionKind.SEND;
      readonly to: string;
      /** IP:port of the receiver for peers. */
      readonly address: string;
      readonly message: MembershipMessage;
    }
  /** Another host's incarnation changed its state. */
  | {
      readonly kind: MembershipActionKind.MEMBER_CHANGED;
      readonly host: string;
      readonly incarnation: string;
      readonly state: MemberState;
      /**
       * For DEAD: whether the incarnation cannot come back, as it announced its
       * end or a later one runs. Silence alone proves nothing: a paused or
       * partitioned incarnation returns as ALIVE.
       */
      readonly proved: boolean;
    }
  /** A host list newer than the one held came from the service or a peer. */
  | {
      readonly kind: MembershipActionKind.LIST_ADOPTED;
      readonly list: HostList;
      readonly revision: number;
    }
  /** A later incarnation of this host runs; this process must end. */
  | {
      readonly kind: MembershipActionKind.SUPERSEDED;
      readonly incarnation: string;
    }
  /** Peers held this incarnation dead and may have ended what it owned. */
  | {readonly kind: MembershipActionKind.DECLARED_DEAD}
  /** This process was paused or its event loop blocked. */
  | {
      readonly kind: MembershipActionKind.STALLED;
      readonly stalledMs: number;
    }
  /** A peer found out something about an upstream. */
  | {
      readonly kind: MembershipActionKind.UPSTREAM_TOLD;
      readonly upstream: string;
      readonly news: UpstreamNews;
      readonly host: string;
    };
