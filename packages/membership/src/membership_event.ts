import type {HostList} from '@parsleywood/schema/host_list';
import type {MembershipMessage} from '@parsleywood/schema/membership';
import type {MembershipEventKind} from './membership_event_kind.js';
import type {MembershipSettings} from './membership_settings.js';
import type {UpstreamNews} from './upstream_news.js';

/** What membership is told. */
export type MembershipEvent =
  /** The configuration service showed a host list. */
  | {
      readonly kind: MembershipEventKind.LIST;
      readonly list: HostList;
      readonly revision: number;
    }
  /** Other times are in force from now on. */
  | {
      readonly kind: MembershipEventKind.SETTINGS;
      readonly settings: MembershipSettings;
    }
  /** A peer's message arrived; host and incarnation are the sender's. */
  | {
      readonly kind: MembershipEventKind.MESSAGE;
      readonly from: string;
      readonly incarnation: string;
      readonly message: MembershipMessage;
    }
  /** The time of `wakeAtMs()` came. */
  | {readonly kind: MembershipEventKind.WAKE}
  /** A host refused new work since it is leaving. */
  | {
      readonly kind: MembershipEventKind.REFUSED;
      readonly host: string;
      readonly incarnation: string;
    }
  /** This host began its graceful stop. */
  | {readonly kind: MembershipEventKind.SELF_LEAVING}
  /** This host's process is about to exit. */
  | {readonly kind: MembershipEventKind.SELF_STOPPED}
  /** This host found out something about an upstream, to be told to peers. */
  | {
      readonly kind: MembershipEventKind.UPSTREAM_NEWS;
      readonly upstream: string;
      readonly news: UpstreamNews;
    };
