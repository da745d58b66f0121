import type {ReceivedResponse} from '../attempts/received_response.js';
import type {ResponseHead} from '../upstreams/response_head.js';
import type {ResponseWriter} from './response_writer.js';

/** Writes the rest of a complete response to the caller. */
export function endResponse(
  writer: ResponseWriter,
  response: ReceivedResponse,
  head: ResponseHead,
): void {
  if (response.isStreaming) {
    if (!writer.hasStarted) writer.start(head);
    writer.end();
  } else if (writer.hasStarted) {
    // The head of an earlier attempt is already sent, and this answer is no part
    // of that one. Only closing the connection can signal the failure.
    writer.abort();
  } else {
    writer.send(head, response.readBody());
  }
}
