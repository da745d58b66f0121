import type {UpstreamEntry} from '@parsleywood/forwarding';
import {Agent} from 'undici';
import type {EventLog} from '../host/event_log.js';

/** Time for an answer: engines answer such calls in milliseconds. */
const ANSWER_MS = 400;

/** A call of which only the answer's status counts. */
interface StatusCall {
  readonly method: 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly content?: object;
}

/** Makes short calls of engines, beside the requests that they run. */
export class StatusCalls {
  // A request that waits for its connection is not ended by a signal.
  private readonly agent = new Agent({connect: {timeout: ANSWER_MS}});

  /** @param event Log event of a call without an answer. */
  constructor(
    private readonly log: EventLog,
    private readonly event: string,
  ) {}

  /** @return Status of the answer; undefined without one. */
  async send(
    engine: UpstreamEntry,
    {method, path, headers, content}: StatusCall,
  ): Promise<number | undefined> {
    try {
      const answer = await this.agent.request({
        origin: `http://${engine.address}`,
        method,
        path,
        headers: {
          ...(content && {'content-type': 'application/json'}),
          ...headers,
        },
        ...(content && {body: JSON.stringify(content)}),
        signal: AbortSignal.timeout(ANSWER_MS),
      });
      await answer.body.dump();
      return answer.statusCode;
    } catch (error) {
      const reason = String(error);
      this.log.warn(this.event, {upstream: engine.id, reason});
      return undefined;
    }
  }
}
