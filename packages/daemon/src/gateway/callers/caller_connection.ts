import type {Socket} from 'node:net';
import type {ForwardSession} from '../attempts/forward_session.js';
import type {ResponseWriter} from './response_writer.js';
import {endUnread} from '../../host/end_unread.js';
import type {SocketReader} from '../../host/socket_reader.js';

/**
 * The open requests of one connection. Node.js tells only the first of them that
 * the caller has left.
 */
export class CallerConnection {
  readonly sessions = new Set<ForwardSession>();
  /** Writers of the responses that are not handed over whole. */
  readonly writers = new Set<ResponseWriter>();

  constructor(
    readonly reader: SocketReader,
    private readonly socket: Socket,
  ) {}

  /** Ends the connection after a refusal whose request is not read whole. */
  endUnread(writer: ResponseWriter): void {
    this.reader.stop();
    if (this.writers.size <= 1) endUnread(this.socket);
    else {
      // Earlier requests of the connection are answered first.
      writer.listenForLastWrite(() => {
        endUnread(this.socket);
      });
    }
  }

  /** Cancels all requests after the caller has closed the connection. */
  end(): void {
    for (const session of [...this.sessions]) session.cancel();
    this.writers.clear();
  }
}
