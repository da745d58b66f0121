/** Sends requests to a host's address for callers, each with an id of its own. */
import {randomBytes} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';

export const HOST_NAME = 'mill.example';

/** A client that keeps connections open. */
export class Client {
  constructor(key = 'key-mill') {
    this.key = key;
    this.agent = new Agent({keepAlive: true});
  }

  stop() {
    this.agent.destroy();
  }

  /**
   * Sends one request. It never fails: `status` is 0 where no answer came, and
   * `isWhole` tells whether the answer arrived whole.
   */
  send(address, {method = 'GET', path, deadlineMs = 2500, body, headers}) {
    const id = randomBytes(8).toString('hex');
    const [host, port] = address.split(':');
    return new Promise(resolve => {
      let status = 0;
      let stamp;
      const chunks = [];
      const end = (isWhole, error) => {
        const text = Buffer.concat(chunks).toString();
        resolve({id, status, stamp, text, isWhole, error});
      };
      const call = request({
        host,
        port,
        method,
        path,
        agent: this.agent,
        headers: {
          Host: HOST_NAME,
          'X-Parsleywood-Request-Id': id,
          'X-Parsleywood-Request-Deadline-Ms': deadlineMs,
          ...(this.key && {'X-Parsleywood-Key': this.key}),
          ...headers,
        },
      });
      call.on('response', answer => {
        status = answer.statusCode;
        stamp = answer.headers['x-parsleywood-response-stamp'];
        answer.on('data', chunk => chunks.push(chunk));
        answer.on('end', () => end(answer.complete));
        answer.on('error', error => end(false, error.code));
      });
      call.on('error', error => end(false, error.code));
      call.setTimeout(deadlineMs + 1000, () => call.destroy());
      call.end(body);
    });
  }
}
