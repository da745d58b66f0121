import type {ClassDemand} from './class_demand.js';
import type {RoutedRequest} from './routed_request.js';
import type {RouterEventKind} from './router_event_kind.js';
import type {Upstream} from './upstream.js';

/** Something that a router observes. */
export type RouterEvent =
  | {
      /** The full list of upstreams; those absent from it are gone. */
      readonly kind: RouterEventKind.UPSTREAMS;
      readonly upstreams: readonly Upstream[];
    }
  | {
      readonly kind: RouterEventKind.LOAD_REPORT;
      readonly upstream: string;
      /** Changes when the engine restarts. */
      readonly incarnation: string;
      /** Rises with each report of one incarnation. */
      readonly sequence: number;
      /** Monotonic time of this host at which the report was true at the latest. */
      readonly takenAtMs: number;
      /** Prompt tokens accepted and not yet prefilled. */
      readonly queuedTokens: number;
      /** Requests that are being decoded. */
      readonly decoding: number;
      /** KV memory in use by requests and reservations, in tokens. */
      readonly usedTokens: number;
      /** Prompt tokens of the longest unfinished prefill. */
      readonly longestPrefillTokens: number;
    }
  | {
      readonly kind: RouterEventKind.CACHE_EVENT;
      readonly upstream: string;
      readonly incarnation: string;
      /** Rises by one with each event of one incarnation; a jump is a gap. */
      readonly sequence: number;
      readonly stored: readonly string[];
      readonly removed: readonly string[];
      /** Whether the engine dropped its whole cache before this event. */
      readonly cleared: boolean;
    }
  | {
      readonly kind: RouterEventKind.ATTEMPT_STARTED;
      readonly attempt: string;
      readonly upstream: string;
      readonly request: RoutedRequest;
      /** Prompt tokens expected in the engine's cache. */
      readonly cachedTokens: number;
    }
  | {
      readonly kind: RouterEventKind.FIRST_TOKEN;
      readonly attempt: string;
      /** Prompt tokens that the engine took from its cache, where it says so. */
      readonly cachedTokens?: number;
    }
  | {
      readonly kind: RouterEventKind.ATTEMPT_ENDED;
      readonly attempt: string;
      /** Whether the attempt ended with a whole answer. */
      readonly succeeded: boolean;
    }
  | {
      /** No new work to the upstream until the time given. */
      readonly kind: RouterEventKind.AVOID;
      readonly upstream: string;
      readonly untilMs: number;
    }
  | {
      readonly kind: RouterEventKind.PEER_DEMAND;
      readonly host: string;
      readonly demands: readonly ClassDemand[];
    };
