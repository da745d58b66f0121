import type {UpstreamEntry} from '@parsleywood/forwarding';
import {HttpAgent} from '@parsleywood/http';
import {createPacedConnector} from '../../host/create_paced_connector.js';
import type {LeavingListener} from '../upstreams/leaving_listener.js';
import type {EventLog} from '../../host/event_log.js';
import {readStatus} from '../../upstreams/read_status.js';

/** Response timeout; engines respond to such calls within milliseconds. */
const RESPONSE_TIMEOUT_MS = 400;
const MISDIRECTED_STATUS = 421;

/** A call whose result is the status code alone. */
interface StatusRequest {
  readonly method: 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly content?: object;
}

/** Sends short control calls to engines, beside the requests in progress. */
export class StatusClient {
  // The abort signal does not end a request that is still connecting.
  private readonly agent = new HttpAgent({
    connect: createPacedConnector(RESPONSE_TIMEOUT_MS),
  });

  private leavingListener: LeavingListener = () => undefined;

  /**
   * @param event Name of the log event for a call without a response.
   * @param leavingHeader Name of the header by which an engine says that it leaves.
   */
  constructor(
    private readonly log: EventLog,
    private readonly event: string,
    private readonly leavingHeader: string,
  ) {}

  listenForLeaving(listener: LeavingListener): void {
    this.leavingListener = listener;
  }

  /** @return Status code of the response; undefined without a whole response. */
  async send(
    engine: UpstreamEntry,
    {method, path, headers, content}: StatusRequest,
  ): Promise<number | undefined> {
    try {
      const response = await this.agent.request({
        origin: `http://${engine.address}`,
        method,
        path,
        headers: {
          ...(content && {'content-type': 'application/json'}),
          ...headers,
        },
        ...(content && {body: JSON.stringify(content)}),
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
      });
      const status = await readStatus(response);
      const isOwn = status !== MISDIRECTED_STATUS;
      if (isOwn && response.headers[this.leavingHeader] === '1') {
        this.leavingListener(engine);
      }
      return status;
    } catch (error) {
      const reason = String(error);
      this.log.warn(this.event, {upstream: engine.id, reason});
      return undefined;
    }
  }
}
