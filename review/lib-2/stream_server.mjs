// A model server as a process of its own, so that it can be killed and started again
// at its address: node stream_server.mjs ID IP PORT [PIECES PAUSE_MS]. It answers with
// a stream that has neither a length nor chunks and ends with its connection, and goes
// on after Last-Event-Id. It writes a line for each request that it runs.
import {createServer} from 'node:http';
import process from 'node:process';
import {clearInterval, setInterval} from 'node:timers';

const [id, address, port, pieces = '38', pauseMs = '100'] =
  process.argv.slice(2);
const last = Number(pieces);

const server = createServer((request, response) => {
  if (request.url === '/health') {
    response.writeHead(200, {'X-Parsleywood-Instance-Id': id}).end();
    return;
  }
  if (request.url === '/report') {
    response.writeHead(200, {'Content-Type': 'application/json'});
    const report = {Stage: 'colocated', Busy: false, Sequence: 0};
    const load = {QueueDepth: 0, Running: 0, KvUsed: 0, KvTotal: 405_000};
    response.end(JSON.stringify({...report, ...load, Handles: 0}));
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
    let next = Number(headers['last-event-id'] ?? 0) + 1;
    process.stdout.write(`run ${own} from ${next}\n`);
    response.useChunkedEncodingByDefault = false;
    response.setHeader('Connection', 'close');
    response.setHeader('Content-Type', 'text/event-stream');
    response.setHeader('X-Parsleywood-Response-Stamp', `s.${id}.${own}`);
    response.flushHeaders();
    const timer = setInterval(() => {
      if (next > last) {
        clearInterval(timer);
        response.end();
        process.stdout.write(`whole ${own}\n`);
        return;
      }
      response.write(`id: ${next}\ndata: piece ${next} of ${last}\n\n`);
      next++;
    }, Number(pauseMs));
    response.on('close', () => {
      clearInterval(timer);
    });
  });
});
server.listen(Number(port), address, () => process.stdout.write('listening\n'));
