import type {PeerMessage} from '@parsleywood/schema/peer';

/** Sends one-way messages to other hosts, without a guarantee of delivery. */
export interface MessageSender {
  /** @param address IP:port to use for a host whose name may be unknown. */
  send(host: string, message: PeerMessage, address?: string): void;
}
