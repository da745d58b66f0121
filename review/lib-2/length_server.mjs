// A model server as a process of its own: node length_server.mjs ID IP PORT VERSION.
// Its streams announce their length. A stream that goes on here after Last-Event-Id
// tells the version of its weights in its first event, as it may have changed there.
import {createServer} from 'node:http';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';
import {Buffer} from 'node:buffer';

const [id, address, port, version] = process.argv.slice(2);
const EVENTS = 38;
const EVENT_MS = 45;

createServer((request, response) => {
  if (request.url === '/health') {
    response.writeHead(200, {'X-Parsleywood-Instance-Id': id}).end();
    return;
  }
  if (request.url === '/report') {
    response.writeHead(200, {'Content-Type': 'application/json'});
    const load = {QueueDepth: 0, Running: 0, KvUsed: 0, KvTotal: 405_000};
    response.end(JSON.stringify({Stage: 'colocated', Busy: false, ...load}));
    return;
  }
  request.resume();
  request.on('end', () => {
    const {headers} = request;
    const own = headers['x-parsleywood-request-id'] ?? '';
    response.setHeader('X-Parsleywood-Request-Id', own);
    const expected = headers['x-parsleywood-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {'X-Parsleywood-Instance-Id': id}).end();
      return;
    }
    const after = Number(headers['last-event-id'] ?? 0);
    process.stdout.write(`run ${own} from ${after + 1}\n`);
    const events = [];
    for (let at = after + 1; at <= EVENTS; at++) {
      const isChange = at === after + 1 && after > 0;
      const line = `x-parsleywood-weight-versions: ${version}\n`;
      events.push(`${isChange ? line : ''}id: ${at}\ndata: piece ${at}\n\n`);
    }
    response.setHeader('Content-Type', 'text/event-stream');
    response.setHeader('Content-Length', Buffer.byteLength(events.join('')));
    response.setHeader('X-Parsleywood-Weight-Versions', version);
    response.setHeader('X-Parsleywood-Response-Stamp', `s.${id}.${own}`);
    const timer = setInterval(() => {
      const next = events.shift();
      if (next !== undefined) response.write(next);
      if (events.length > 0) return;
      clearInterval(timer);
      response.end();
    }, EVENT_MS);
    response.on('close', () => {
      clearInterval(timer);
    });
  });
}).listen(Number(port), address, () => process.stdout.write('listening\n'));
