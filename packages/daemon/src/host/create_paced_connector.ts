import type {Socket} from 'node:net';
import {ReadBudget} from '@parsleywood/forwarding';
import {buildConnector} from 'undici';
import {SystemClock} from './system_clock.js';
import {SocketReader} from './socket_reader.js';

/** Bytes that are read of a connection at once. */
const TURN_BYTES = 16_384;

/** Creates a connector whose connections are read in small steps and share a budget. */
export function createPacedConnector(
  timeoutMs: number,
): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  const budget = new ReadBudget();
  const clock = new SystemClock();
  return (options, done) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        new SocketReader(TURN_BYTES, budget, clock).attach(socket as Socket);
      }
      done(...result);
    });
  };
}
