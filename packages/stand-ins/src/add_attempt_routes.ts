import type {FastifyInstance, FastifyRequest} from 'fastify';
import {Answer} from './answer.js';
import {EngineConnection} from './engine_connection.js';
import {EngineEventKind} from './engine_event_kind.js';
import type {PromptRequest} from './prompt_request.js';
import {readPrompt} from './read_prompt.js';
import {readSubmission} from './read_submission.js';
import {REFUSAL_STATUSES} from './refusal_statuses.js';
import type {RunningEngine} from './running_engine.js';

type AttemptRequest = FastifyRequest<{Params: {id: string}}>;

/** Adds the routes that submit, cancel and reorder attempts. */
export function addAttemptRoutes(
  server: FastifyInstance,
  engine: RunningEngine,
): void {
  for (const path of ['/v1/chat/completions', '/v1/completions']) {
    server.post(path, (request, reply) => {
      const body = request.body as PromptRequest;
      const prompt = readPrompt(body);
      const {blockTokens} = engine.options;
      const {headers} = request;
      const submission = readSubmission(headers, body, prompt, blockTokens);
      const {attempt} = submission;
      if (attempt === '') {
        const error = {kind: 'attempt_missing'};
        return reply.code(400).send({error});
      }
      const answer = new Answer(prompt);
      const connection = new EngineConnection(attempt, answer, reply.raw);
      const refusal = engine.runner.submit(submission, connection);
      if (refusal) {
        const error = {kind: refusal, attempt};
        return reply.code(REFUSAL_STATUSES[refusal]).send({error});
      }
      reply.hijack();
      reply.raw.on('close', () => {
        if (!reply.raw.writableFinished) engine.runner.cancel(attempt);
      });
      const marker = engine.runner.faults.crashOnMarker ?? '';
      if (marker !== '' && prompt.includes(marker)) {
        // The attempt is accepted by now, and nothing of it is generated.
        setImmediate(() => engine.crash());
      }
      return reply;
    });
  }

  server.delete('/v1/attempts/:id', (request: AttemptRequest, reply) => {
    const known = engine.runner.cancel(request.params.id);
    return reply.code(known ? 204 : 404).send();
  });

  server.patch('/v1/attempts/:id', (request: AttemptRequest, reply) => {
    const {id: attempt} = request.params;
    const {priority} = request.body as {priority: number};
    const known = engine.runner.model.has(attempt);
    const kind = EngineEventKind.SET_PRIORITY;
    engine.runner.handle({kind, attempt, priority});
    return reply.code(known ? 204 : 404).send();
  });
}
