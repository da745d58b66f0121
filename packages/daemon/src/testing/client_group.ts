/** How the clients of a group send a request. */
export interface ClientGroup {
  readonly clients: number;
  readonly head: string;
  /** Bytes that follow the head; without a limit where infinite. */
  readonly bodyBytes: number;
  /** Repeated until the body is sent. */
  readonly piece: Buffer;
  /** Whether pieces are sent one by one, with a pause after each. */
  readonly isSlow: boolean;
  readonly isReading: boolean;
}
