import type {ClientWritableStream, Metadata, ServiceError} from '@grpc/grpc-js';
import type {Delivery, PeerClient} from '@parsleywood/schema/peer';

/** Most deliveries that the connection has not taken yet. */
const MAX_WAITING = 1_000;

/** One-way messages to one peer, over a stream that is opened when needed. */
export class PeerStream {
  private stream: ClientWritableStream<Delivery> | undefined;

  constructor(
    private readonly client: PeerClient,
    private readonly metadata: Metadata,
  ) {}

  /** Sends a delivery; it is lost when the peer cannot be reached. */
  send(delivery: Delivery): void {
    if (this.stream && this.stream.writableLength > MAX_WAITING) {
      // A peer that takes nothing must not fill this host's memory.
      this.close();
    }
    this.stream ??= this.open();
    this.stream.write(delivery);
  }

  close(): void {
    this.stream?.cancel();
    this.stream = undefined;
  }

  private open(): ClientWritableStream<Delivery> {
    const stream = this.client.deliver(
      this.metadata,
      (_error: ServiceError | null) => {
        if (this.stream === stream) this.stream = undefined;
      },
    );
    stream.on('error', () => {
      if (this.stream === stream) this.stream = undefined;
    });
    return stream;
  }
}
