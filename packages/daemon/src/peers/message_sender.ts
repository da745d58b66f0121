import type {PeerMessage} from '@parsleywood/schema/peer';

/** Sends one-way messages to other hosts; they may be lost. */
export interface MessageSender {
  /** @param address IP:port, where the host is not found by its name. */
  send(host: string, message: PeerMessage, address?: string): void;
}
