import {connect, type Socket} from 'node:net';
import {handlePendingInput} from '../../host/handle_pending_input.js';
import {parseAddress} from '../../host/parse_address.js';
import {PathResult} from './path_result.js';

/**
 * Tests the path to an upstream by a GET on a new connection. Any byte that comes back
 * shows that the path works, so that the answer is not parsed.
 *
 * @param address IP:port of the upstream.
 * @param answerMs Time in which something must come back.
 */
export async function testPath(
  address: string,
  healthPath: string,
  answerMs: number,
): Promise<PathResult> {
  return new Promise(resolve => {
    const socket = open(address);
    if (socket === undefined) {
      resolve(PathResult.REFUSED);
      return;
    }
    const finish = (result: PathResult): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    let hasOpened = false;
    const giveUp = async (): Promise<void> => {
      // After a freeze of this host the answer may have arrived.
      await handlePendingInput();
      finish(hasOpened ? PathResult.SILENT : PathResult.REFUSED);
    };
    const timer = setTimeout(() => {
      void giveUp();
    }, answerMs);
    socket.on('connect', () => {
      hasOpened = true;
      socket.write(
        `GET ${healthPath} HTTP/1.1\r\nhost: ${address}\r\nconnection: close\r\n\r\n`,
      );
    });
    socket.on('data', () => {
      finish(PathResult.WORKING);
    });
    socket.on('error', () => {
      finish(PathResult.REFUSED);
    });
    socket.on('close', () => {
      finish(PathResult.REFUSED);
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
