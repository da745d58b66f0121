import {PieceBuffer} from '@parsleywood/forwarding';
import type {Dispatcher} from 'undici';

/**
 * Reads the body of a response.
 *
 * @throws Error if the body is longer than the limit. Its connection is closed.
 */
export async function readLimitedBody(
  body: Dispatcher.ResponseData['body'],
  maxBytes: number,
): Promise<Buffer> {
  const received = new PieceBuffer();
  // Leaving the loop early closes the connection.
  for await (const chunk of body) {
    received.append(chunk as Buffer);
    if (received.length > maxBytes) {
      throw new Error(`response body exceeds ${maxBytes} bytes`);
    }
  }
  return received.join();
}
