/**
 * A server, a process of its own, that answers like a sound one, but for the paths that it
 * is told: these answers go on without end. node runaway.mjs ID HEAD UNIT
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout} from 'node:timers';

const EVENTS = 20;
const EVENT_MS = 45;
/** Reading of a prompt, as the sheet of brindlecote-mill gives it. */
const READ_TOKENS_PER_MS = 154;
const MS_PER_MILLION_PAIRS = 0.162;
const STEP_MS = 45;
const FREE_TOKENS = 405_000;
const PART_BYTES = 131_072;

const [id, head, unit] = process.argv.slice(2);
const part = Buffer.from(
  unit.repeat(Math.max(1, Math.floor(PART_BYTES / unit.length))),
);
/** Paths that begin so are answered without end. */
let endlessPrefix;
process.on('message', message => {
  endlessPrefix = message.endlessPrefix;
});
process.on('disconnect', () => process.exit());

const sound = createServer((call, response) => {
  call.resume();
  call.on('end', () => {
    const requestId = call.headers['x-parsleywood-request-id'] ?? '';
    response.setHeader('X-Parsleywood-Request-Id', requestId);
    const expected = call.headers['x-parsleywood-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {'X-Parsleywood-Not-Run': '1'}).end();
      return;
    }
    if (endlessPrefix && call.url.startsWith(endlessPrefix)) {
      runAway(call.socket, requestId);
      return;
    }
    if (call.url === '/order') {
      response.writeHead(200, {'Content-Type': 'application/json'});
      response.end(JSON.stringify({Free: FREE_TOKENS}));
      return;
    }
    process.send?.({ran: requestId, isSound: true});
    response.setHeader('X-Parsleywood-Response-Stamp', `stamp-${id}`);
    let sent = Number(call.headers['last-event-id'] ?? 0);
    const write = () => {
      if (response.destroyed) return;
      if (!response.headersSent) {
        response.writeHead(200, {'Content-Type': 'text/event-stream'});
      }
      sent++;
      response.write(`id: ${sent}\ndata: text ${sent}\n\n`);
      if (sent < EVENTS) setTimeout(write, EVENT_MS);
      else response.end();
    };
    setTimeout(write, computeReadMs(call.headers));
  });
});

sound.listen(0, '127.0.0.1', () => {
  process.send?.({port: sound.address().port});
});

/** Time until the first event, where a prompt is read in even parts. */
function computeReadMs(headers) {
  const [tokens] = (headers['x-parsleywood-token-counts'] ?? '0').split(',');
  const helpers = headers['x-parsleywood-helpers']?.split(',').length ?? 0;
  const millionPairs = (tokens * tokens) / 2 / 1e6;
  const readMs =
    tokens / READ_TOKENS_PER_MS + millionPairs * MS_PER_MILLION_PAIRS;
  return STEP_MS + readMs / (1 + helpers);
}

/** Answers a request with bytes without end, as fast as the caller reads them. */
function runAway(socket, requestId) {
  const write = () => {
    while (!socket.destroyed && socket.write(part));
  };
  socket.on('drain', write);
  process.send?.({ran: requestId, isSound: false});
  socket.write(
    `HTTP/1.1 200 OK\r\n${head}` +
      `X-Parsleywood-Request-Id: ${requestId}\r\nX-Parsleywood-Response-Stamp: stamp-${id}\r\n\r\n`,
  );
  write();
}
