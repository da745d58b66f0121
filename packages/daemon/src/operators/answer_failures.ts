import {
  ERROR_RESPONSES,
  ErrorKind,
  Failure,
  formatFailure,
} from '@parsleywood/errors';
import type {FastifyInstance} from 'fastify';

/**
 * Answers operators' questions that fail, and unknown ones.
 *
 * @param idPrefix Begins the id of each question that failed.
 */
export function answerFailures(
  server: FastifyInstance,
  idPrefix: string,
): void {
  let failures = 0;
  server.setNotFoundHandler(request => {
    const where = `${request.method} ${request.url}`;
    throw new Failure(ErrorKind.NOT_FOUND, `no ${where} here`);
  });
  server.setErrorHandler((error, _request, reply) => {
    const failure =
      error instanceof Failure
        ? error
        : new Failure(ErrorKind.INVALID_REQUEST, (error as Error).message);
    return reply
      .status(ERROR_RESPONSES[failure.kind].status)
      .send(formatFailure(failure, `${idPrefix}-o${failures++}`));
  });
}
