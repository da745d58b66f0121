import {
  ERROR_RESPONSES,
  ErrorKind,
  Failure,
  formatFailure,
} from '@parsleywood/errors';
import type {FastifyInstance} from 'fastify';

/**
 * Installs the handlers for failed requests and for unknown routes. Both answer
 * with a failure in the format of the API.
 *
 * @param idPrefix Prefix of the id that each failed request gets.
 */
export function answerFailures(
  server: FastifyInstance,
  idPrefix: string,
): void {
  let failureCount = 0;
  server.setNotFoundHandler(request => {
    const route = `${request.method} ${request.url}`;
    throw new Failure(ErrorKind.NOT_FOUND, `no such route: ${route}`);
  });
  server.setErrorHandler((error, _request, reply) => {
    const failure =
      error instanceof Failure
        ? error
        : new Failure(ErrorKind.INVALID_REQUEST, (error as Error).message);
    return reply
      .status(ERROR_RESPONSES[failure.kind].status)
      .send(formatFailure(failure, `${idPrefix}-o${failureCount++}`));
  });
}
