import type {FastifyInstance, FastifyRequest} from 'fastify';
import {EngineEventKind} from './engine_event_kind.js';
import type {RunningEngine} from './running_engine.js';

type NamedRequest = FastifyRequest<{Params: {id: string}}>;

interface ReservationBody {
  readonly owner: string;
  readonly tokens: number;
  readonly expiresInMs: number;
}

/** Adds the routes for reservations, exports and imports. */
export function addMemoryRoutes(
  server: FastifyInstance,
  engine: RunningEngine,
): void {
  const {runner} = engine;
  const full = {error: {kind: 'full'}};
  const unknown = {error: {kind: 'not_found'}};
  const wake = () => runner.handle({kind: EngineEventKind.WAKE});

  server.post('/v1/reservations/:id', (request: NamedRequest, reply) => {
    const {id} = request.params;
    const {owner, tokens, expiresInMs} = request.body as ReservationBody;
    wake();
    const {memory} = runner.model;
    const earlier = memory.readReservation(id);
    if (earlier && earlier.owner !== owner) {
      const error = {kind: 'duplicate_reservation'};
      return reply.code(409).send({error});
    }
    const expiresAtMs = runner.nowMs() + expiresInMs;
    const reserved = memory.reserve({id, owner, tokens, expiresAtMs});
    wake();
    if (!reserved) return reply.code(503).send(full);
    return reply.code(earlier ? 200 : 201).send({id, owner, tokens});
  });

  server.delete('/v1/reservations/:id', (request: NamedRequest, reply) => {
    const known = runner.model.memory.release(request.params.id);
    wake();
    return reply.code(known ? 204 : 404).send();
  });

  server.get('/v1/reservations', (_request, reply) => {
    wake();
    const nowMs = runner.nowMs();
    const reservations = runner.model.memory
      .listReservations()
      .map(({id, owner, tokens, expiresAtMs}) => {
        return {id, owner, tokens, expiresInMs: expiresAtMs - nowMs};
      });
    return reply.send({reservations});
  });

  server.post('/v1/kv/exports', (request, reply) => {
    const {attempt} = request.body as {attempt: string};
    if (!runner.model.has(attempt)) return reply.code(404).send(unknown);
    if (!runner.model.exportStream(attempt)) return reply.code(503).send(full);
    return reply.code(201).send(runner.model.memory.readExport(attempt));
  });

  server.get('/v1/kv/exports', (_request, reply) => {
    return reply.send({exports: runner.model.memory.listExports()});
  });

  server.delete('/v1/kv/exports/:id', (request: NamedRequest, reply) => {
    const known = runner.model.memory.deleteExport(request.params.id);
    wake();
    return reply.code(known ? 204 : 404).send();
  });

  server.post('/v1/kv/imports', (request, reply) => {
    const {blocks} = request.body as {blocks: string[]};
    if (!runner.model.importBlocks(blocks)) return reply.code(503).send(full);
    return reply.code(201).send({blocks: blocks.length});
  });
}
