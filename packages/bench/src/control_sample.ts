/** Cost of control of one host, as means over the hosts of a site. */
export interface ControlSample {
  /** Processor time, in percent of one core. */
  readonly processorPercent: number;
  readonly peerMessagesPerS: number;
  /** Encoded bytes of the messages sent to other hosts. */
  readonly peerMessageBytesPerS: number;
  /** Bytes on the host's connections with other hosts, both ways. */
  readonly peerWireBytesPerS: number;
  readonly platformCallsPerS: number;
  readonly platformBytesPerS: number;
  readonly loadPollsPerS: number;
  readonly engineBytesPerS: number;
  /** Bytes on all connections of the host, both ways. */
  readonly bytesPerS: number;
}
