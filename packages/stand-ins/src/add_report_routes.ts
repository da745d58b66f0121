import type {FastifyInstance, FastifyRequest} from 'fastify';
import {EngineEventKind} from './engine_event_kind.js';
import type {EngineFaults} from './engine_faults.js';
import type {EngineCommand} from './engine_command.js';
import type {RunningEngine} from './running_engine.js';

type EventsRequest = FastifyRequest<{Querystring: {after?: string}}>;

/** Adds the routes for load, cache events, commands and the control of tests. */
export function addReportRoutes(
  server: FastifyInstance,
  engine: RunningEngine,
): void {
  const {runner} = engine;

  server.get('/v1/load', (_request, reply) => {
    const {incarnation} = engine;
    return reply.send({incarnation, ...runner.model.load(runner.nowMs())});
  });

  server.get('/v1/cache-events', (request: EventsRequest, reply) => {
    const after = Number(request.query.after ?? 0);
    return reply.send({
      events: runner.model.cacheEvents(after, runner.nowMs()),
    });
  });

  server.post('/v1/orders', (request, reply) => {
    const command = request.body as EngineCommand;
    const applied = engine.commands.apply(command, runner.nowMs());
    const content = engine.commands.read(runner.nowMs());
    if (applied) return reply.send(content);
    const error = {kind: 'old_fencing', fencing: content.fencing};
    return reply.code(409).send({error});
  });

  server.get('/v1/orders', (_request, reply) => {
    return reply.send(engine.commands.read(runner.nowMs()));
  });

  server.get('/healthz', (_request, reply) => reply.send({ok: true}));

  server.post('/faults', (request, reply) => {
    engine.setFaults(request.body as EngineFaults);
    return reply.send({ok: true});
  });

  server.get('/state', (_request, reply) => {
    runner.handle({kind: EngineEventKind.WAKE});
    const {model} = runner;
    const {usedTokens, cachedTokens} = model.memory;
    const streams = model.listStreams().map(stream => {
      const {attempt, owner, promptTokens, answerTokens} = stream.submission;
      return {attempt, owner, tokens: promptTokens + answerTokens};
    });
    const reservations = model.memory.listReservations();
    const exports = model.memory
      .listExports()
      .map(({id, owner, tokens}) => ({id, owner, tokens}));
    const {crashes} = engine;
    return reply.send({
      usedTokens,
      cachedTokens,
      streams,
      reservations,
      exports,
      crashes,
    });
  });
}
