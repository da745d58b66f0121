/** What tells a request from others when upstreams crash under it. */
export interface SuspectSubject {
  /** Model, or another name that goes with the body. */
  readonly model: string;
  readonly body: Buffer;
}
