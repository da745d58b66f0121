// A plain server of the platform: answers at once and notes what it has run.
import {createServer} from 'node:http';
import {createHash} from 'node:crypto';
import {ip} from './site.mjs';

export class AppServer {
  constructor(id, last) {
    this.id = id;
    this.last = last;
    this.runs = [];
    this.answer = (_request, response) => response.end('x'.repeat(800));
    this.server = createServer((request, response) => {
      this.take(request, response);
    });
    this.server.keepAliveTimeout = 10_000;
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, ip(this.last), resolve));
    this.address = `${ip(this.last)}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  take(request, response) {
    if (request.url === '/health') {
      response.writeHead(200, {'X-Parsleywood-Instance-Id': this.id}).end();
      return;
    }
    const id = request.headers['x-parsleywood-request-id'] ?? '';
    const hash = createHash('sha256');
    let bytes = 0;
    request.on('data', chunk => {
      bytes += chunk.length;
      hash.update(chunk);
    });
    request.on('end', () => {
      response.setHeader('X-Parsleywood-Request-Id', id);
      const expected = request.headers['x-parsleywood-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {'X-Parsleywood-Instance-Id': this.id}).end();
        return;
      }
      this.runs.push({
        id,
        call: `${request.method} ${request.url}`,
        bytes,
        hash: hash.digest('hex').slice(0, 16),
        headers: request.headers,
      });
      response.setHeader('X-Parsleywood-Response-Stamp', `s.${this.id}.${id}`);
      this.answer(request, response);
    });
  }
}
