import {connect, type Socket} from 'node:net';
import {parseAddress} from '../../host/parse_address.js';

/**
 * Connect timeout; the round trip between hosts and upstreams is a few
 * milliseconds.
 */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Tests whether an address (IP:port) accepts TCP connections.
 *
 * @param openMs Time for which a connection must stay open to count. A path that
 *     resets connections may accept them first.
 */
export async function canConnect(
  address: string,
  openMs = 0,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = open(address);
    if (socket === undefined) {
      resolve(false);
      return;
    }
    const finish = (isReachable: boolean): void => {
      socket.destroy();
      resolve(isReachable);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      if (openMs === 0) finish(true);
      else {
        setTimeout(() => {
          finish(true);
        }, openMs);
      }
    });
    socket.on('close', () => {
      resolve(false);
    });
    socket.on('timeout', () => {
      finish(false);
    });
    socket.on('error', () => {
      finish(false);
    });
  });
}

/** Opens a connection; undefined for an address that can't have one. */
function open(address: string): Socket | undefined {
  try {
    return connect(parseAddress(address));
  } catch {
    return undefined;
  }
}
