// A model server as a process of its own: node model_server.mjs ID IP PORT. It streams
// 38 events, 45 ms apart, after 20 ms and the time to read the prompt. It ends at once,
// like a process that crashes, when it begins to write an answer on a prompt with the
// part POISON. It writes a line for each request that it begins.
import {createServer} from 'node:http';
import process from 'node:process';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const [id, address, port, poison = ''] = process.argv.slice(2);
const EVENTS = 38;
const EVENT_MS = 45;
const READ_TOKENS_PER_MS = 154;

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
  if (request.url === '/order') {
    response.writeHead(200, {'Content-Type': 'application/json'});
    response.end('{"Free":405000}');
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
    const parts = (headers['x-parsleywood-prompt-prefix'] ?? '').split(',');
    const tokens = parts.reduce(
      (sum, one) => sum + Number(one.split(':')[1]),
      0,
    );
    setTimeout(
      () => {
        begin(own, parts, headers, response);
      },
      20 + tokens / READ_TOKENS_PER_MS,
    );
  });
}).listen(Number(port), address, () => process.stdout.write('listening\n'));

function begin(own, parts, headers, response) {
  if (response.destroyed) return;
  process.stdout.write(`begin ${own}\n`, () => {
    const isPoisoned = parts.some(one => one.split(':')[0] === poison);
    if (isPoisoned) process.kill(process.pid, 'SIGKILL');
  });
  if (parts.some(one => one.split(':')[0] === poison)) return;
  response.setHeader('Content-Type', 'text/event-stream');
  response.setHeader('X-Parsleywood-Response-Stamp', `s.${id}.${own}`);
  let next = Number(headers['last-event-id'] ?? 0) + 1;
  const write = () => {
    if (next > EVENTS) {
      clearInterval(timer);
      response.end();
      return;
    }
    response.write(`id: ${next}\ndata: piece ${next}\n\n`);
    next++;
  };
  const timer = setInterval(write, EVENT_MS);
  write();
  response.on('close', () => {
    clearInterval(timer);
  });
}
