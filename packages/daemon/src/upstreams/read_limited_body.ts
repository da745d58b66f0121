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
  const chunks: Buffer[] = [];
  let bytes = 0;
  // Leaving the loop early closes the connection.
  for await (const chunk of body) {
    chunks.push(chunk as Buffer);
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) {
      throw new Error(`response body exceeds ${maxBytes} bytes`);
    }
  }
  return Buffer.concat(chunks);
}
