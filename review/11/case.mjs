/** Streams whose events have ids that a double cannot tell apart. */
import {Buffer} from 'node:buffer';
import {dirname} from 'node:path';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {call, newId, pause, runCase} from '../lib-3/site.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const REQUESTS = 12;
const HOSTS = 3;
const PIECES = 20;
const PIECE_MS = 10;
/** Ids of the time in nanoseconds and a count, as 64-bit integers. */
const LARGE_FIRST = 1796663986704000001n;
const SMALL_FIRST = 1n;

await runCase(FOLDER, async ({site, note, hasTrouble}) => {
  const first = hasTrouble ? LARGE_FIRST : SMALL_FIRST;
  const last = first + BigInt(PIECES - 1);

  /** Sends the events after `Last-Event-Id`, with ids that increase by one. */
  const answer = (request, response, _body, _id, arrival) => {
    const after = request.headers['last-event-id'];
    arrival.after = after;
    let id = after === undefined ? first : BigInt(after) + 1n;
    response.writeHead(200, {'Content-Type': 'text/event-stream'});
    const timer = setInterval(() => {
      if (id > last) {
        clearInterval(timer);
        response.end();
        return;
      }
      response.write(`id: ${id}\ndata: piece ${id - first + 1n}\n\n`);
      id++;
    }, PIECE_MS);
    response.on('close', () => clearInterval(timer));
  };
  for (let at = 0; at < 4; at++)
    await site.addServer(`i-llm${at}`, 'llm', answer);
  await site.start({hosts: HOSTS});

  const results = await Promise.all(
    Array.from({length: REQUESTS}, async (_, at) => {
      await pause(at * 50);
      const id = newId();
      const seen = await call({
        ip: site.gateways[at % HOSTS].ip,
        method: 'POST',
        path: `/stream/q${at}`,
        id,
        body: Buffer.from('prompt'),
        headers: {
          'X-Parsleywood-Model': 'm',
          'X-Parsleywood-Token-Counts': '5000,200',
          'X-Parsleywood-Prompt-Prefix': `5c1e07a2:40,${newId()}:4960`,
        },
      });
      return {id, seen};
    }),
  );

  const expected = Array.from({length: PIECES}, (_, at) => at + 1).join(' ');
  const arrivals = site.servers.flatMap(one => one.arrivals);
  let broken = 0;
  let complete = 0;
  for (const {id, seen} of results) {
    const pieces = [...(seen.body ?? '').matchAll(/^data: piece (\d+)$/gm)]
      .map(([, piece]) => piece)
      .join(' ');
    const endsAsComplete = seen.status === 200 && seen.isWhole === true;
    if (endsAsComplete) complete++;
    const isBroken = endsAsComplete && pieces !== expected;
    if (isBroken) broken++;
    note('a client got a stream', {
      id,
      firstId: String(first),
      runs: arrivals
        .filter(one => one.id === id)
        .map(one => `after ${one.after ?? 'nothing'}`),
      status: seen.status,
      error: seen.error,
      endsAsComplete,
      pieces,
      isBroken,
    });
  }
  note('streams', {
    sent: REQUESTS,
    endedAsComplete: complete,
    withPiecesMissing: broken,
  });
  if (complete === 0) throw new Error('no stream ended');
  return broken > 0;
});
