import type {IncomingMessage} from 'node:http';
import {ErrorKind, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';

/** Reads a request body. Fails when it is too large, late or truncated. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  limitMs: number,
): Promise<Result<Buffer, Failure>> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return refuseLength(maxBytes);
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const end = (result: Result<Buffer, Failure>): void => {
      clearTimeout(timer);
      resolve(result);
    };
    const timer = setTimeout(() => {
      end(
        fail(
          ErrorKind.BODY_TIMEOUT,
          'request body not received within the time limit',
        ),
      );
    }, limitMs);
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else end(refuseLength(maxBytes));
    });
    request.on('end', () => {
      end(Result.ok(Buffer.concat(chunks)));
    });
    request.on('close', () => {
      end(
        fail(
          ErrorKind.CALLER_GONE,
          'caller closed the connection before the request body was complete',
        ),
      );
    });
  });
}

function refuseLength(maxBytes: number): Result<Buffer, Failure> {
  const message = `request body exceeds ${maxBytes} bytes`;
  return fail(ErrorKind.BODY_TOO_LARGE, message);
}

function fail(kind: ErrorKind, message: string): Result<Buffer, Failure> {
  return Result.err(new Failure(kind, message));
}
