import type {RequestTraits} from '@parsleywood/requests';

/** What a request is recognised by once it has crashed an upstream. */
export interface SuspectSubject extends RequestTraits {
  /** Distinguishes requests with equal bodies. */
  readonly name: string;
  readonly body: Buffer;
}
