import fastify, {type FastifyRequest} from 'fastify';
import {CallCounter} from './call_counter.js';
import {cutOff} from './cut_off.js';
import {listen} from './listen.js';
import {pause} from './pause.js';
import type {PlatformFaults} from './platform_faults.js';
import type {StandIn} from './stand_in.js';
import {ValueStore} from './value_store.js';

const MAX_VALUE_BYTES = 1_048_576;
const MAX_READS_PER_SECOND = 2_000;
const POLL_MS = 10;

type ReadRequest = FastifyRequest<{
  Params: {'*': string};
  Querystring: {after?: string; waitMs?: string};
}>;

/**
 * Starts a platform: values to read and watch, and the control of tests.
 *
 * @param port Port on loopback; any free one when 0.
 */
export async function startPlatform(port = 0): Promise<StandIn> {
  const server = fastify({
    bodyLimit: MAX_VALUE_BYTES,
    forceCloseConnections: true,
  });
  const store = new ValueStore();
  const calls = new CallCounter(MAX_READS_PER_SECOND);
  let down = false;

  server.get('/values/*', async (request: ReadRequest, reply) => {
    const {after, waitMs = '0'} = request.query;
    const key = request.params['*'];
    const watch = after !== undefined;
    if (!calls.count(key, watch, Date.now())) {
      return reply.code(429).header('retry-after', '1').send();
    }
    const until = Date.now() + Number(waitMs);
    const afterRevision = Number(after ?? -1);
    for (;;) {
      if (down) return cutOff(reply);
      const entry = store.read(key, Date.now());
      if (entry && entry.revision > afterRevision) return reply.send(entry);
      if (!watch) return reply.code(404).send({error: {key}});
      if (Date.now() >= until || request.raw.socket.destroyed) {
        const revision = entry?.revision ?? 0;
        return reply.code(304).header('etag', `"${revision}"`).send();
      }
      await pause(POLL_MS);
    }
  });

  server.put('/values/*', async (request: ReadRequest) => {
    const key = request.params['*'];
    return {revision: store.put(key, request.body, Date.now())};
  });

  server.get('/calls', async () => calls.read());

  server.post('/faults', async (request: FastifyRequest) => {
    const faults = request.body as PlatformFaults;
    if (faults.down !== undefined) down = faults.down;
    if (faults.stale !== undefined) store.setStale(faults.stale);
    if (faults.lagListMs !== undefined) store.listDelayMs = faults.lagListMs;
    return {ok: true};
  });

  server.get('/healthz', async () => ({ok: true}));

  return listen(server, port);
}
