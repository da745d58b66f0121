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
const CLOSE_WITHIN_MS = 500;

/** Listens for peers that show the shared key. */
export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  });

  /** Ends of the open streams of messages. */
  private readonly streams = new Set<() => void>();

  constructor(
    private readonly key: string,
    private readonly listener: PeerListener,
  ) {
    this.server.addService(PeerService, {
      deliver: (
        stream: ServerReadableStream<Delivery, DeliveryReceipt>,
        done: sendUnaryData<DeliveryReceipt>,
      ) => {
        this.takeStream(stream, done);
      },
      runOrder: this.answer(call => this.listener.runOrder(call)),
      readStatus: this.answer(() => ({json: this.listener.readStatus()})),
      readTimeline: this.answer(query => this.listener.readTimeline(query)),
      drain: this.answer(() => {
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

  /** Ends after the calls being answered, or at the latest after a time. */
  async close(): Promise<void> {
    for (const end of this.streams) end();
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => {
        this.server.forceShutdown();
        resolve();
      }, CLOSE_WITHIN_MS);
      this.server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private takeStream(
    stream: ServerReadableStream<Delivery, DeliveryReceipt>,
    done: sendUnaryData<DeliveryReceipt>,
  ): void {
    if (!this.isKnown(stream.metadata)) {
      done({code: status.UNAUTHENTICATED, details: 'wrong peer key'});
      return;
    }
    const end = (): void => {
      if (this.streams.delete(end)) done(null, {});
    };
    this.streams.add(end);
    stream.on('data', (delivery: Delivery) => {
      this.listener.takeDelivery(delivery);
    });
    stream.on('end', end);
    stream.on('error', end);
    stream.on('cancelled', end);
  }

  private answer<Question, Reply>(
    handle: (question: Question) => Reply | Promise<Reply>,
  ): (
    call: ServerUnaryCall<Question, Reply>,
    done: sendUnaryData<Reply>,
  ) => void {
    return (call, done) => {
      if (!this.isKnown(call.metadata)) {
        done({code: status.UNAUTHENTICATED, details: 'wrong peer key'});
        return;
      }
      Promise.resolve()
        .then(() => handle(call.request))
        .then(
          reply => {
            done(null, reply);
          },
          (error: unknown) => {
            done({code: status.INTERNAL, details: String(error)});
          },
        );
    };
  }

  private isKnown(metadata: Metadata): boolean {
    const shown = Buffer.from(String(metadata.get(PEER_KEY_METADATA)[0] ?? ''));
    const known = Buffer.from(this.key);
    return shown.length === known.length && timingSafeEqual(shown, known);
  }
}
