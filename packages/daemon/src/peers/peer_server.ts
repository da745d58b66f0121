import {timingSafeEqual} from 'node:crypto';
import {
  Metadata,
  Server,
  ServerCredentials,
  status,
  type sendUnaryData,
  type ServerReadableStream,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import {
  PeerService,
  type Delivery,
  type DeliveryReceipt,
} from '@parsleywood/schema/peer';
import {PEER_KEY_METADATA} from './peer_key_metadata.js';
import type {PeerListener} from './peer_listener.js';

const MAX_MESSAGE_BYTES = 24 * 1024 * 1024;
const SHUTDOWN_TIMEOUT_MS = 500;

/**
 * gRPC server for peers. It rejects calls and streams that do not carry the
 * shared key.
 */
export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  });

  /** Functions that complete the open message streams. */
  private readonly streamFinishers = new Set<() => void>();

  constructor(
    private readonly key: string,
    private readonly listener: PeerListener,
  ) {
    this.server.addService(PeerService, {
      deliver: (
        stream: ServerReadableStream<Delivery, DeliveryReceipt>,
        done: sendUnaryData<DeliveryReceipt>,
      ) => {
        this.handleStream(stream, done);
      },
      runOrder: this.createUnaryHandler(call => this.listener.runOrder(call)),
      readStatus: this.createUnaryHandler(() => ({
        json: this.listener.readStatus(),
      })),
      readTimeline: this.createUnaryHandler(query =>
        this.listener.readTimeline(query),
      ),
      drain: this.createUnaryHandler(() => {
        this.listener.drain();
        return {};
      }),
    });
  }

  async listen(address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.bindAsync(
        address,
        ServerCredentials.createInsecure(),
        error => {
          if (error) reject(error);
          else resolve();
        },
      );
    });
  }

  /**
   * Shuts down after the calls in progress. Calls still open after
   * `SHUTDOWN_TIMEOUT_MS` are cancelled.
   */
  async close(): Promise<void> {
    for (const finish of this.streamFinishers) finish();
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => {
        this.server.forceShutdown();
        resolve();
      }, SHUTDOWN_TIMEOUT_MS);
      this.server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private handleStream(
    stream: ServerReadableStream<Delivery, DeliveryReceipt>,
    callback: sendUnaryData<DeliveryReceipt>,
  ): void {
    if (!this.hasPeerKey(stream.metadata)) {
      callback({code: status.UNAUTHENTICATED, details: 'wrong peer key'});
      return;
    }
    const finish = (): void => {
      if (this.streamFinishers.delete(finish)) callback(null, {});
    };
    this.streamFinishers.add(finish);
    stream.on('data', (delivery: Delivery) => {
      this.listener.takeDelivery(delivery);
    });
    stream.on('end', finish);
    stream.on('error', finish);
    stream.on('cancelled', finish);
  }

  private createUnaryHandler<RequestMessage, ResponseMessage>(
    handle: (
      request: RequestMessage,
    ) => ResponseMessage | Promise<ResponseMessage>,
  ): (
    call: ServerUnaryCall<RequestMessage, ResponseMessage>,
    callback: sendUnaryData<ResponseMessage>,
  ) => void {
    return (call, callback) => {
      if (!this.hasPeerKey(call.metadata)) {
        callback({code: status.UNAUTHENTICATED, details: 'wrong peer key'});
        return;
      }
      Promise.resolve()
        .then(() => handle(call.request))
        .then(
          reply => {
            callback(null, reply);
          },
          (error: unknown) => {
            callback({code: status.INTERNAL, details: String(error)});
          },
        );
    };
  }

  private hasPeerKey(metadata: Metadata): boolean {
    const given = Buffer.from(String(metadata.get(PEER_KEY_METADATA)[0] ?? ''));
    const expected = Buffer.from(this.key);
    return given.length === expected.length && timingSafeEqual(given, expected);
  }
}
