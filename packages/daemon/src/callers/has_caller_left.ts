import type {ServerResponse} from 'node:http';

/** Whether the caller has closed its connection before its answer was complete. */
export function hasCallerLeft({destroyed, req}: ServerResponse): boolean {
  return destroyed || req.socket.destroyed || req.socket.readableEnded;
}
