import type {HostList} from '@parsleywood/schema/host_list';
import type {MembershipMessage} from '@parsleywood/schema/membership';
import type {MembershipEventKind} from './membership_event_kind.js';
import type {MembershipSettings} from './membership_settings.js';
import type {UpstreamNews} from './upstream_news.js';

/** An input of membership. */
export type MembershipEvent =
  /** The configuration service returned a host list. */
  | {
      readonly kind: MembershipEventKind.LIST;
      readonly list: HostList;
      readonly revision: number;
    }
  /** The failure detection settings changed. */
  | {
      readonly kind: MembershipEventKind.SETTINGS;
      readonly settings: MembershipSettings;
    }
  /** A message arrived; `from` and `incarnation` identify the sender. */
  | {
      readonly kind: MembershipEventKind.MESSAGE;
      readonly from: string;
      readonly incarnation: string;
      readonly message: MembershipMessage;
    }
  /** The time returned by `wakeAtMs()` was reached. */
  | {readonly kind: MembershipEventKind.WAKE}
  /** Another host refused new work because it is leaving. */
  | {
      readonly kind: MembershipEventKind.REFUSED;
      readonly host: string;
      readonly incarnation: string;
    }
  /** This host started its graceful shutdown. */
  | {readonly kind: MembershipEventKind.SELF_LEAVING}
  /** This host's process is about to exit. */
  | {readonly kind: MembershipEventKind.SELF_STOPPED}
  /** This host found an upstream failing or leaving; peers must be told. */
  | {
      readonly kind: MembershipEventKind.UPSTREAM_NEWS;
      readonly upstream: string;
      readonly news: UpstreamNews;
    };
