import type {HostList} from '@parsleywood/schema/host_list';
import type {MembershipMessage} from '@parsleywood/schema/membership';
import type {MemberState} from './member_state.js';
import type {MembershipActionKind} from './membership_action_kind.js';
import type {UpstreamNews} from './upstream_news.js';

/** Something that membership asks its adapter to do. */
export type MembershipAction =
  /** Send one message, without awaiting a reply and without retry. */
  | {
      readonly kind: MembershipActionKind.SEND;
      readonly to: string;
      /** The receiver's IP:port for peer traffic. */
      readonly address: string;
      readonly message: MembershipMessage;
    }
  /** The state of another host's incarnation changed. */
  | {
      readonly kind: MembershipActionKind.MEMBER_CHANGED;
      readonly host: string;
      readonly incarnation: string;
      readonly state: MemberState;
      /**
       * For DEAD: whether the incarnation cannot come back, because it
       * announced its exit or a later one runs. Silence is no proof: a paused
       * or partitioned incarnation can become ALIVE again.
       */
      readonly proved: boolean;
    }
  /** A newer host list arrived from the configuration service or a peer. */
  | {
      readonly kind: MembershipActionKind.LIST_ADOPTED;
      readonly list: HostList;
      readonly revision: number;
    }
  /** A later incarnation of this host is running; this process must exit. */
  | {
      readonly kind: MembershipActionKind.SUPERSEDED;
      readonly incarnation: string;
    }
  /** Peers declared this incarnation dead and may have ended what it owned. */
  | {readonly kind: MembershipActionKind.DECLARED_DEAD}
  /** This process was paused, or its event loop was blocked. */
  | {
      readonly kind: MembershipActionKind.STALLED;
      readonly stalledMs: number;
    }
  /** A peer reported a failing or leaving upstream. */
  | {
      readonly kind: MembershipActionKind.UPSTREAM_REPORTED;
      readonly upstream: string;
      readonly news: UpstreamNews;
      readonly host: string;
    };
