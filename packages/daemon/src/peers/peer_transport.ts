import {credentials, Metadata, type ServiceError} from '@grpc/grpc-js';
import {ErrorKind, ExecutionStatus, Failure} from '@parsleywood/errors';
import {
  PeerClient,
  type OrderCall,
  type OrderOutcome,
  type PeerMessage,
} from '@parsleywood/schema/peer';
import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';
import type {Incarnation} from '@parsleywood/types';
import {Result} from 'true-myth';
import {countPeerMessages} from './count_peer_messages.js';
import type {HostMetrics} from '../host/host_metrics.js';
import type {HostTimeline} from '../host/host_timeline.js';
import type {MessageSender} from './message_sender.js';
import {PEER_KEY_METADATA} from './peer_key_metadata.js';
import {PeerStream} from './peer_stream.js';
import {TrafficDirection} from '../host/traffic_direction.js';

const QUERY_TIMEOUT_MS = 2_000;
const MAX_MESSAGE_BYTES = 24 * 1024 * 1024;
const MAX_RECONNECT_BACKOFF_MS = 1_000;
const MIN_RECONNECT_BACKOFF_MS = 100;
/** A connection without an answer to a ping is given up. */
const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 3_000;

type PeerCall<Reply> = (
  client: PeerClient,
  metadata: Metadata,
  options: {deadline: number},
  done: (error: ServiceError | null, reply: Reply) => void,
) => void;

/** Sends messages and calls to the other hosts. */
export class PeerTransport implements MessageSender {
  private readonly clients = new Map<string, PeerClient>();
  private readonly streams = new Map<string, PeerStream>();
  private readonly outgoing = new Map<string, PeerMessage[]>();
  private readonly metadata = new Metadata();

  /** @param findAddress IP:port of a host for its peers. */
  constructor(
    private readonly self: Incarnation,
    key: string,
    private readonly timeline: HostTimeline,
    private readonly metrics: HostMetrics,
    private readonly findAddress: (host: string) => string | undefined,
  ) {
    this.metadata.set(PEER_KEY_METADATA, key);
  }

  /** Sends a one-way message, together with others of this turn of the loop. */
  send(host: string, message: PeerMessage, address?: string): void {
    const target = address ?? this.findAddress(host);
    if (target === undefined || host === this.self.host) return;
    const waiting = this.outgoing.get(target);
    if (waiting !== undefined) {
      waiting.push(message);
      return;
    }
    this.outgoing.set(target, [message]);
    setImmediate(() => {
      this.flush(target);
    });
  }

  /** Sends a one-way message to several hosts; this one is passed over. */
  sendToAll(hosts: readonly string[], message: PeerMessage): void {
    for (const host of hosts) this.send(host, message);
  }

  /** Runs an order at its owner; the failure tells whether it was sent. */
  async runOrder(
    host: string,
    call: OrderCall,
  ): Promise<Result<OrderOutcome, Failure>> {
    const stamped = {...call, hybridTime: this.timeline.stamp()};
    const result = await this.call<OrderOutcome>(
      host,
      call.limitMs,
      (client, ...rest) => {
        client.runOrder(stamped, ...rest);
      },
    );
    if (result.isOk) this.timeline.observe(result.value.hybridTime);
    return result;
  }

  async readStatus(host: string): Promise<Result<string, Failure>> {
    const report = await this.call<{json: string}>(
      host,
      QUERY_TIMEOUT_MS,
      (client, ...rest) => {
        client.readStatus({}, ...rest);
      },
    );
    return report.map(({json}) => json);
  }

  /** Reads the status of the host at an address, IP:port. */
  async readStatusAt(address: string): Promise<Result<string, Failure>> {
    const report = await this.callAt<{json: string}>(
      address,
      address,
      QUERY_TIMEOUT_MS,
      (client, ...rest) => {
        client.readStatus({}, ...rest);
      },
    );
    return report.map(({json}) => json);
  }

  async readTimeline(
    host: string,
    query: TimelineQuery,
  ): Promise<Result<TimelinePage, Failure>> {
    return this.call(host, QUERY_TIMEOUT_MS, (client, ...rest) => {
      client.readTimeline(query, ...rest);
    });
  }

  async drain(host: string): Promise<Result<unknown, Failure>> {
    return this.call(host, QUERY_TIMEOUT_MS, (client, ...rest) => {
      client.drain({}, ...rest);
    });
  }

  /** Gives up the connection to an address; the next message opens another. */
  reset(address: string): void {
    this.streams.get(address)?.close();
    this.streams.delete(address);
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  close(): void {
    for (const stream of this.streams.values()) stream.close();
    this.streams.clear();
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private flush(address: string): void {
    const messages = this.outgoing.get(address) ?? [];
    this.outgoing.delete(address);
    countPeerMessages(this.metrics, TrafficDirection.SENT, messages);
    this.openStream(address).send({
      from: this.self.host,
      fromIncarnation: this.self.id,
      hybridTime: this.timeline.stamp(),
      messages,
    });
  }

  private openStream(address: string): PeerStream {
    const known = this.streams.get(address);
    if (known !== undefined) return known;
    const stream = new PeerStream(this.connect(address), this.metadata);
    this.streams.set(address, stream);
    return stream;
  }

  private async call<Reply>(
    host: string,
    limitMs: number,
    start: PeerCall<Reply>,
  ): Promise<Result<Reply, Failure>> {
    const address = this.findAddress(host);
    if (address === undefined) {
      return Result.err(
        new Failure(ErrorKind.HOST_UNAVAILABLE, `host "${host}" is not listed`),
      );
    }
    return this.callAt(host, address, limitMs, start);
  }

  private async callAt<Reply>(
    host: string,
    address: string,
    limitMs: number,
    start: PeerCall<Reply>,
  ): Promise<Result<Reply, Failure>> {
    return new Promise(resolve => {
      const options = {deadline: Date.now() + limitMs};
      start(
        this.connect(address),
        this.metadata,
        options,
        (error: ServiceError | null, reply: Reply) => {
          if (error === null) resolve(Result.ok(reply));
          else resolve(Result.err(this.describe(host, error)));
        },
      );
    });
  }

  private describe(host: string, error: ServiceError): Failure {
    return new Failure(
      ErrorKind.HOST_UNAVAILABLE,
      `host "${host}": ${error.details}`,
      ExecutionStatus.UNKNOWN,
    );
  }

  private connect(address: string): PeerClient {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const client = new PeerClient(address, credentials.createInsecure(), {
      'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      'grpc.initial_reconnect_backoff_ms': MIN_RECONNECT_BACKOFF_MS,
      'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MS,
      'grpc.enable_http_proxy': 0,
      'grpc.keepalive_time_ms': KEEPALIVE_MS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
    });
    this.clients.set(address, client);
    return client;
  }
}
