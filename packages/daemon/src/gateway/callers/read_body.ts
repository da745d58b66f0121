import type {IncomingMessage} from 'node:http';
import {ErrorKind, Failure} from '@parsleywood/errors';
import {PieceBuffer} from '@parsleywood/forwarding';
import {Result} from 'true-myth';
import type {SocketReader} from '../../host/socket_reader.js';

/** What a chunk costs, compared with an event that is passed on. */
const PIECES_PER_CHUNK = 0.5;

/** Reads a request body. Fails when it is too large, late or truncated. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  limitMs: number,
  reader: SocketReader,
): Promise<Result<Buffer, Failure>> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return refuseLength(maxBytes);
  return new Promise(resolve => {
    const body = new PieceBuffer();
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
      reader.record(PIECES_PER_CHUNK);
      if (body.length + chunk.length <= maxBytes) body.append(chunk);
      else end(refuseLength(maxBytes));
    });
    request.on('end', () => {
      end(Result.ok(body.take()));
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
