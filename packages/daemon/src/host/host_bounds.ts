const DEFAULT_MEMORY_MB = 512;
const DEFAULT_MAX_DESCRIPTORS = 4_096;
const BYTES_PER_MB = 1_048_576;
/** Memory of a process that serves no caller, with room for its heap to grow. */
const BASE_MB = 120;
const MIN_CONNECTIONS_MB = 24;
/** What a connection may hold that has been read and not parsed. */
const CONNECTION_BYTES = 81_920;
/** Part of the descriptors that callers may use, with those for their upstreams. */
const CALLER_SHARE = 0.8;
/** Part of the descriptors that each of the other ports may use. */
const PORT_SHARE = 0.02;
const MIN_PORT_CONNECTIONS = 16;

/** What a host may use, derived from its settings and never from the machine. */
export class HostBounds {
  readonly memoryMb: number;
  /** Whether the settings say how much memory there is. */
  readonly isMemoryBounded: boolean;
  /** Caller connections; one with a request counts as two. */
  readonly callerConnections: number;
  /** Connections of the directory's, the readiness and the metrics port each. */
  readonly portConnections: number;

  constructor(
    settings: {
      readonly memoryMb?: number;
      readonly maxDescriptors?: number;
    } = {},
  ) {
    const {
      memoryMb = DEFAULT_MEMORY_MB,
      maxDescriptors = DEFAULT_MAX_DESCRIPTORS,
    } = settings;
    this.memoryMb = memoryMb;
    this.isMemoryBounded = settings.memoryMb !== undefined;
    const connectionsMb = Math.max(MIN_CONNECTIONS_MB, memoryMb - BASE_MB);
    this.callerConnections = Math.floor(
      Math.min(
        maxDescriptors * CALLER_SHARE,
        (connectionsMb * BYTES_PER_MB) / CONNECTION_BYTES,
      ),
    );
    this.portConnections = Math.max(
      MIN_PORT_CONNECTIONS,
      Math.floor(maxDescriptors * PORT_SHARE),
    );
  }
}
