/** Totals of a site's control at one time, summed over its hosts. */
export interface ControlReading {
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
  readonly processorMs: number;
  readonly peerMessages: number;
  /** Encoded bytes of the messages that hosts sent to each other. */
  readonly peerMessageBytes: number;
  /** Bytes on the connections between hosts, each byte counted once. */
  readonly peerWireBytes: number;
  readonly platformCalls: number;
  /** Bytes on the connections to the platform, both ways. */
  readonly platformBytes: number;
  readonly loadPolls: number;
  /** Bytes on the connections to the engines, both ways. */
  readonly engineBytes: number;
}
