/**
 * An engine, a process of its own, that answers like a sound one. A message tells it to how
 * many requests it answers without end from now on:
 * node engine.mjs ID comments|chunks
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import process from 'node:process';
import {setTimeout} from 'node:timers';

const EVENTS = 38;
const EVENT_MS = 45;
const FIRST_EVENT_MS = 60;
const PART_BYTES = 196_608;
/** What an answer without end has in its head and, again and again, in its body. */
const ENDLESS = {
  /** Blank comments of an event stream. */
  comments: {head: 'Content-Type: text/event-stream\r\n', unit: ':\n\n'},
  /** Chunks of one byte. */
  chunks: {
    head: 'Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n',
    unit: '1\r\n.\r\n',
  },
};

const [id, name] = process.argv.slice(2);
const {head: endlessHead, unit} = ENDLESS[name];
const part = Buffer.from(unit.repeat(PART_BYTES / unit.length));
let endless = 0;
process.on('message', message => {
  endless = message.endless;
});
process.on('disconnect', () => process.exit());

const sound = createServer((call, response) => {
  call.resume();
  call.on('end', () => {
    const requestId = call.headers['x-parsleywood-request-id'] ?? '';
    process.send?.({soundId: requestId});
    response.setHeader('X-Parsleywood-Request-Id', requestId);
    response.setHeader('X-Parsleywood-Response-Stamp', `stamp-${id}`);
    response.setHeader('Connection', 'close');
    let sent = 0;
    const write = () => {
      if (response.destroyed) return;
      if (sent === 0)
        response.writeHead(200, {'Content-Type': 'text/event-stream'});
      sent++;
      response.write(`id: ${sent}\ndata: text ${sent}\n\n`);
      if (sent < EVENTS) setTimeout(write, EVENT_MS);
      else response.end();
    };
    setTimeout(write, FIRST_EVENT_MS);
  });
});

const server = createTcpServer(socket => {
  if (endless > 0) answerEndlessly(socket);
  else sound.emit('connection', socket);
});
server.listen(0, '127.0.0.1', () => {
  process.send?.({port: server.address().port});
});

/** Answers a request with bytes without end, as fast as the caller reads them. */
function answerEndlessly(socket) {
  let head = '';
  let hasBegun = false;
  const write = () => {
    while (!socket.destroyed && socket.write(part));
  };
  socket.on('error', () => undefined);
  socket.on('drain', write);
  socket.on('data', bytes => {
    if (hasBegun) return;
    head += bytes.toString('latin1');
    const requestId = /^x-parsleywood-request-id: (\S+)/im.exec(head)?.[1];
    if (requestId === undefined || !head.includes('\r\n\r\n')) return;
    hasBegun = true;
    endless--;
    process.send?.({endlessId: requestId});
    socket.write(
      `HTTP/1.1 200 OK\r\n${endlessHead}` +
        `X-Parsleywood-Request-Id: ${requestId}\r\nX-Parsleywood-Response-Stamp: stamp-${id}\r\n\r\n`,
    );
    write();
  });
}
