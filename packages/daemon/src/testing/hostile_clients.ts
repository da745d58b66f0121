import {connect, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import type {ClientGroup} from './client_group.js';

const PIECE_BYTES = 65_536;
const DRIP_INTERVAL_MS = 50;

/** A group of clients that send what they like and stay. */
export class HostileClients {
  private sockets: Socket[] = [];

  /** Connects a group to an IP:port. */
  open(address: string, group: ClientGroup): void {
    const [ip = '', port = ''] = address.split(':');
    for (let count = 0; count < group.clients; count++) {
      const socket = connect(Number(port), ip);
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      if (group.isReading) socket.resume();
      void send(socket, group);
    }
  }

  leave(): void {
    for (const socket of this.sockets) socket.destroy();
    this.sockets = [];
  }
}

async function send(socket: Socket, group: ClientGroup): Promise<void> {
  socket.write(group.head);
  let left = group.bodyBytes;
  while (left > 0 && !socket.destroyed && socket.writable) {
    const piece = group.piece.subarray(0, Math.min(PIECE_BYTES, left));
    left -= piece.length;
    const wasTaken = socket.write(piece);
    if (group.isSlow) await pause(DRIP_INTERVAL_MS);
    else if (!wasTaken) await waitForDrain(socket);
  }
}

async function waitForDrain(socket: Socket): Promise<void> {
  await new Promise<void>(resolve => {
    socket.once('drain', resolve);
    socket.once('close', () => {
      resolve();
    });
  });
}
