import type {FastifyReply} from 'fastify';

/** Closes the caller's connection without an answer. */
export function cutOff(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.socket?.destroy();
  return reply;
}
