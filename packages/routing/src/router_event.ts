import type {ClassDemand} from './class_demand.js';
import type {RoutedRequest} from './routed_request.js';
import type {RouterEventKind} from './router_event_kind.js';
import type {Upstream} from './upstream.js';

/** Input event of a router. */
export type RouterEvent =
  | {
      /**
       * The complete list of upstreams; an upstream that is not listed is
       * removed.
       */
      readonly kind: RouterEventKind.UPSTREAMS;
      readonly upstreams: readonly Upstream[];
    }
  | {
      readonly kind: RouterEventKind.LOAD_REPORT;
      readonly upstream: string;
      /** Changes when the engine restarts. */
      readonly incarnation: string;
      /** Increases with each report of one incarnation. */
      readonly sequence: number;
      /**
       * Latest monotonic time of this host at which the engine can have taken
       * the report.
       */
      readonly takenAtMs: number;
      /** Prompt tokens that the engine has accepted but not yet prefilled. */
      readonly queuedTokens: number;
      /** Number of requests in decode. */
      readonly decoding: number;
      /** KV cache memory used by requests and reservations, in tokens. */
      readonly usedTokens: number;
      /**
       * Prompt tokens of the longest unfinished prefill; 0 when there is none.
       */
      readonly longestPrefillTokens: number;
    }
  | {
      readonly kind: RouterEventKind.CACHE_EVENT;
      readonly upstream: string;
      readonly incarnation: string;
      /**
       * Increases by one with each event of one incarnation; a larger step
       * means that events were lost.
       */
      readonly sequence: number;
      readonly stored: readonly string[];
      readonly removed: readonly string[];
      /** Whether the engine cleared its whole cache before this event. */
      readonly cleared: boolean;
    }
  | {
      readonly kind: RouterEventKind.ATTEMPT_STARTED;
      readonly attempt: string;
      readonly upstream: string;
      readonly request: RoutedRequest;
      /** Prompt tokens that are expected to be in the cache of the engine. */
      readonly cachedTokens: number;
    }
  | {
      readonly kind: RouterEventKind.FIRST_TOKEN;
      readonly attempt: string;
      /**
       * Prompt tokens that the engine read from its cache; undefined when it
       * does not report them.
       */
      readonly cachedTokens?: number;
    }
  | {
      readonly kind: RouterEventKind.ATTEMPT_ENDED;
      readonly attempt: string;
      /** Whether the attempt ended with a complete answer. */
      readonly succeeded: boolean;
    }
  | {
      /** The upstream gets no new requests until `untilMs` (monotonic). */
      readonly kind: RouterEventKind.AVOID;
      readonly upstream: string;
      readonly untilMs: number;
    }
  | {
      readonly kind: RouterEventKind.PEER_DEMAND;
      readonly host: string;
      readonly demands: readonly ClassDemand[];
    };
