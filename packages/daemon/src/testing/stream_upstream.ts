/**
 * An upstream in a process of its own, whose streams have ids of 64 bits and end once a
 * signal ends it: node stream_upstream.js EVENTS. It prints its port, and a line for each
 * stream.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

const FIRST_ID = 1796663986704000001n;
const EVENT_INTERVAL_MS = 10;

const events = BigInt(process.argv[2] ?? 0);

const server = createServer((request, response) => {
  request.resume();
  response.setHeader('request-id', request.headers['request-id'] ?? '');
  if (request.url?.startsWith('/stream/') !== true) {
    response.end('done');
    return;
  }
  console.log('stream');
  const after = request.headers['last-event-id'];
  let id = after === undefined ? FIRST_ID : BigInt(String(after)) + 1n;
  response.writeHead(200, {'Content-Type': 'text/event-stream'});
  const timer = setInterval(() => {
    if (id < FIRST_ID + events) response.write(describeEvent(id++));
    else response.end();
  }, EVENT_INTERVAL_MS);
  response.on('close', () => {
    clearInterval(timer);
  });
});
server.listen(0, '127.0.0.1', () => {
  console.log((server.address() as AddressInfo).port);
});

function describeEvent(id: bigint): string {
  return `id: ${id}\ndata: piece ${id - FIRST_ID + 1n}\n\n`;
}
