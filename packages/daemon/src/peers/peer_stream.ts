import type {ClientWritableStream, Metadata, ServiceError} from '@grpc/grpc-js';
import type {Delivery, PeerClient} from '@parsleywood/schema/peer';

/** Maximum number of deliveries that wait for the connection to send them. */
const MAX_QUEUED_DELIVERIES = 1_000;

/**
 * Sends one-way messages to one peer over a stream. The stream is opened by the
 * first message, and again by the next one after it ended.
 */
export class PeerStream {
  private stream: ClientWritableStream<Delivery> | undefined;

  constructor(
    private readonly client: PeerClient,
    private readonly metadata: Metadata,
  ) {}

  /** Sends a delivery. It is lost when the peer is unreachable. */
  send(delivery: Delivery): void {
    if (this.stream && this.stream.writableLength > MAX_QUEUED_DELIVERIES) {
      // A peer that stops reading must not exhaust this host's memory, so
      // the queued deliveries are dropped with the stream.
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
