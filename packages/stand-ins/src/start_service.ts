import fastify, {type FastifyRequest} from 'fastify';
import {crashServer} from './crash_server.js';
import {cutOff} from './cut_off.js';
import {ExecutionLedger} from './execution_ledger.js';
import {listen} from './listen.js';
import {pause} from './pause.js';
import type {ServiceFaults} from './service_faults.js';
import type {ServiceOptions} from './service_options.js';
import type {StandIn} from './stand_in.js';

const DEFAULT_ORDER_MS = 2;
/** Time for which a crashed service is down. */
const RESTART_MS = 100;
const LEVELS = {bins: {'bin-1': 0.42, 'bin-2': 0.77}};

/** Starts a plain service whose orders do not recognise a repeated key. */
export async function startService(
  options: ServiceOptions = {},
): Promise<StandIn> {
  const {port = 0, checksFencing = false} = options;
  const {orderMs = DEFAULT_ORDER_MS} = options;
  const server = fastify({forceCloseConnections: true});
  const ledger = new ExecutionLedger();
  let faults: ServiceFaults = {};
  let frozenUntilMs = 0;
  let highestFencing = 0;
  let crashes = 0;

  server.addHook('preHandler', async request => {
    if (request.url === '/faults') return;
    const frozenMs = frozenUntilMs - performance.now();
    await pause(Math.max(0, frozenMs) + (faults.slowMs ?? 0));
  });

  server.addHook('preHandler', async (request, reply) => {
    const {crashOnMarker = ''} = faults;
    if (request.url === '/faults' || crashOnMarker === '') return;
    const text = `${request.url} ${JSON.stringify(request.body ?? '')}`;
    if (!text.includes(crashOnMarker)) return;
    crashes++;
    reply.hijack();
    crashServer(server, RESTART_MS);
  });

  server.get('/crashes', async () => ({crashes}));

  server.post('/orders', async (request, reply) => {
    const fencing = Number(request.headers['parsleywood-fencing'] ?? 0);
    if (checksFencing && fencing < highestFencing) {
      const error = {kind: 'old_fencing', fencing: highestFencing};
      return reply.code(409).send({error});
    }
    highestFencing = Math.max(highestFencing, fencing);
    if (faults.failBeforeExecution) return cutOff(reply);
    const key = readHeader(request, 'idempotency-key');
    const account = readHeader(request, 'parsleywood-account');
    const count = ledger.record(key, account);
    await pause(orderMs);
    if (faults.failAfterExecution) return cutOff(reply);
    return reply.code(201).send({key, account, count, order: request.body});
  });

  server.get('/levels', async () => LEVELS);

  server.get('/executions', async () => ledger.list());

  server.post('/faults', async request => {
    const change = request.body as ServiceFaults;
    faults = {...faults, ...change};
    frozenUntilMs = performance.now() + (change.freezeMs ?? 0);
    return {ok: true};
  });

  server.get('/healthz', async () => ({ok: true}));

  return listen(server, port);
}

function readHeader(request: FastifyRequest, name: string): string {
  return String(request.headers[name] ?? '');
}
