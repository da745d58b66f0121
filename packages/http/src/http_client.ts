import {buildConnector, Client, type Dispatcher} from 'undici';
import {ResponseChecker} from './response_checker.js';
import {ResponseConnection} from './response_connection.js';

/**
 * HTTP/1.1 client with one connection, which carries one request at a time. What is no
 * whole response in the grammar of RFC 9112 fails the request: `onResponseError` is
 * called, or the promise is rejected.
 */
export class HttpClient extends Client {
  /** @param origin `http://` with host and port. */
  constructor(
    origin: string | URL,
    options: Client.Options = {},
    private readonly connection = new ResponseConnection(),
  ) {
    super(origin, {
      ...options,
      pipelining: 1,
      connect: createConnector(options.connect, connection),
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const {connection} = this;
    const checker = new ResponseChecker(options.method, connection, handler);
    return super.dispatch(options, checker);
  }
}

function createConnector(
  connect: Client.Options['connect'],
  connection: ResponseConnection,
): buildConnector.connector {
  const open =
    typeof connect === 'function' ? connect : buildConnector(connect ?? {});
  return (options, done) => {
    open(options, (...result) => {
      const [error, socket] = result;
      if (error === null) connection.attach(socket);
      done(...result);
    });
  };
}
