import type {IncomingMessage} from 'node:http';
import {ErrorKind, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';
import type {HostMemory} from '../../host/host_memory.js';
import {MemoryEnd} from '../../host/memory_end.js';
import type {SocketReader} from '../../host/socket_reader.js';
import {ReceivedBody} from './received_body.js';

/** What a chunk costs, compared with an event that is passed on. */
const PIECES_PER_CHUNK = 0.5;
/** Time after which a caller may find room for its body. */
const RETRY_AFTER_MS = 1_000;

/**
 * Reads a request body. Fails when it is too large, late or truncated, or when there
 * is no memory for it.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  limitMs: number,
  reader: SocketReader,
  memory: HostMemory,
): Promise<Result<ReceivedBody, Failure>> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return refuseLength(maxBytes);
  return new Promise(resolve => {
    let pending: Buffer | undefined;
    const address = request.socket.remoteAddress ?? '';
    const body = new ReceivedBody(memory, address, declared, {
      onGranted: () => {
        if (pending !== undefined) body.append(pending);
        pending = undefined;
        read();
      },
      onEnded: end => {
        fail(...describeEnd(end));
      },
    });
    const settle = (): void => {
      clearTimeout(timer);
      request.off('data', handleData);
      request.off('end', handleEnd);
      request.off('close', handleClose);
    };
    const fail = (
      kind: ErrorKind,
      message: string,
      retryAfterMs?: number,
    ): void => {
      settle();
      request.pause();
      pending = undefined;
      body.release();
      resolve(Result.err(new Failure(kind, message, undefined, retryAfterMs)));
    };
    const timer = setTimeout(() => {
      fail(
        ErrorKind.BODY_TIMEOUT,
        'request body not received within the time limit',
      );
    }, limitMs);
    const handleData = (chunk: Buffer): void => {
      reader.record(PIECES_PER_CHUNK);
      if (body.length + chunk.length > maxBytes) {
        fail(ErrorKind.BODY_TOO_LARGE, describeLimit(maxBytes));
      } else if (body.reserve(chunk.length)) body.append(chunk);
      else {
        pending = chunk;
        request.pause();
      }
    };
    const handleEnd = (): void => {
      settle();
      body.complete();
      resolve(Result.ok(body));
    };
    const handleClose = (): void => {
      fail(
        ErrorKind.CALLER_GONE,
        'caller closed the connection before the request body was complete',
      );
    };
    const read = (): void => {
      if (request.listenerCount('data') === 0) request.on('data', handleData);
      else request.resume();
    };
    request.on('end', handleEnd);
    request.on('close', handleClose);
    // What is announced is read once there is room for all of it.
    if (body.reserve(declared)) read();
  });
}

function describeLimit(maxBytes: number): string {
  return `request body exceeds ${maxBytes} bytes`;
}

function refuseLength(maxBytes: number): Result<ReceivedBody, Failure> {
  const message = describeLimit(maxBytes);
  return Result.err(new Failure(ErrorKind.BODY_TOO_LARGE, message));
}

function describeEnd(end: MemoryEnd): [ErrorKind, string, number?] {
  switch (end) {
    case MemoryEnd.NO_ROOM:
      return [
        ErrorKind.OVERLOADED,
        'no memory for the request body',
        RETRY_AFTER_MS,
      ];
    case MemoryEnd.STALLED:
      return [
        ErrorKind.BODY_TIMEOUT,
        'request body made no progress while memory was short',
      ];
  }
}
