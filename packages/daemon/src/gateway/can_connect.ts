import {connect} from 'node:net';
import {parseAddress} from '../host/parse_address.js';

/** Time for a connection: hosts and upstreams are a few milliseconds apart. */
const CONNECT_MS = 300;

/** Tells whether an address (IP:port) takes connections. */
export async function canConnect(address: string): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(parseAddress(address));
    const end = (isReached: boolean): void => {
      socket.destroy();
      resolve(isReached);
    };
    socket.setTimeout(CONNECT_MS);
    socket.on('connect', () => {
      end(true);
    });
    socket.on('timeout', () => {
      end(false);
    });
    socket.on('error', () => {
      end(false);
    });
  });
}
