/** A sound server of a plain service, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';
import {setTimeout} from 'node:timers';

export class Service {
  /** @param onRun Called with the server's id, the request's id, method and path. */
  constructor(id, onRun, workMs = 20) {
    this.id = id;
    this.onRun = onRun;
    this.workMs = workMs;
    this.server = createServer((call, response) => this.take(call, response));
    this.server.keepAliveTimeout = 10_000;
  }

  async start(ip = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  /** Exits: open connections are closed, new ones are refused. */
  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  take(call, response) {
    const chunks = [];
    call.on('data', chunk => chunks.push(chunk));
    call.on('end', () => {
      const requestId = call.headers['x-parsleywood-request-id'] ?? '';
      const expected = call.headers['x-parsleywood-expect-instance'];
      response.setHeader('X-Parsleywood-Request-Id', requestId);
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {'X-Parsleywood-Not-Run': '1'}).end();
        return;
      }
      if (call.url === '/health') {
        response.setHeader('X-Parsleywood-Instance-Id', this.id);
        response.writeHead(200).end();
        return;
      }
      this.onRun(this.id, requestId, call.method, call.url, call.headers);
      setTimeout(() => {
        if (response.destroyed) return;
        const body = `${this.id} ${call.url}`;
        response.writeHead(200, {
          'Content-Type': 'text/plain',
          'X-Parsleywood-Response-Stamp': `stamp-${this.id}`,
          'Content-Length': body.length,
        });
        response.end(body);
      }, this.workMs);
    });
    call.on('error', () => undefined);
  }
}
