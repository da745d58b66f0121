import type {IncomingMessage, ServerResponse} from 'node:http';
import {ErrorKind, Failure} from '@parsleywood/errors';
import type {LengthClassSettings, Settings} from '@parsleywood/schema/settings';
import type {Caller} from './caller.js';
import type {CompletionPath} from './completion_path.js';
import type {CompletionRequest} from './completion_request.js';
import {CompletionSession} from './completion_session.js';
import {parseTimeLimit} from './parse_time_limit.js';
import {readCompletion} from './read_completion.js';
import type {Serving} from './serving.js';
import {StreamDelivery} from './stream_delivery.js';
import {WholeDelivery} from './whole_delivery.js';

const DEFAULT_BYTES_PER_TOKEN = 4;

/** Takes completion requests of callers. */
export class CompletionHandler {
  constructor(private readonly serving: Serving) {}

  /**
   * Checks a request and starts its session.
   *
   * @throws Failure when the request is refused.
   */
  handle(
    path: CompletionPath,
    caller: Caller,
    body: Buffer,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const settings = this.serving.requireSettings();
    const request = readCompletion(
      path,
      body,
      caller.requestId,
      caller.account,
      this.serving.clock.wallMs(),
    ).unwrapOrElse(throwFailure);
    const promptTokens = this.estimateTokens(request, settings);
    const lengthClass = findLengthClass(settings, promptTokens);
    const limitMs =
      parseTimeLimit(
        incoming.headers['request-timeout-ms'],
        settings.timeLimits.maxMs,
      ).unwrapOrElse(throwFailure) ?? lengthClass.timeLimitMs;
    this.start(request, lengthClass, limitMs, response);
  }

  private start(
    request: CompletionRequest,
    lengthClass: LengthClassSettings,
    limitMs: number,
    response: ServerResponse,
  ): void {
    const {serving} = this;
    const head = serving.replyHead(request.id);
    const delivery = request.stream
      ? new StreamDelivery(
          response,
          request.shape,
          request.id,
          head,
          request.includeUsage,
        )
      : new WholeDelivery(response, request.shape, request.id, head);
    const session = new CompletionSession(
      serving,
      request,
      lengthClass.name,
      serving.clock.nowMs() + limitMs,
      delivery,
    );
    serving.begin();
    session.watchCaller(response);
    session.admit();
  }

  private estimateTokens(
    request: CompletionRequest,
    settings: Settings,
  ): number {
    const model = settings.models[request.model];
    if (model === undefined) {
      throw new Failure(
        ErrorKind.UNKNOWN_MODEL,
        `no model "${request.model}" at this site`,
      );
    }
    const bytesPerToken = model.bytesPerToken ?? DEFAULT_BYTES_PER_TOKEN;
    const tokens = Math.ceil(request.promptBytes / bytesPerToken);
    if (tokens > model.contextTokens) {
      throw new Failure(
        ErrorKind.PROMPT_TOO_LONG,
        `the prompt has about ${tokens} tokens; model "${request.model}" takes ${model.contextTokens}`,
      );
    }
    return tokens;
  }
}

function findLengthClass(
  settings: Settings,
  tokens: number,
): LengthClassSettings {
  const classes = settings.lengthClasses;
  const found = classes.find(one => tokens <= one.upToTokens);
  const last = found ?? classes.at(-1);
  if (last === undefined) {
    throw new Failure(ErrorKind.INTERNAL, 'the settings have no length class');
  }
  return last;
}

function throwFailure(failure: Failure): never {
  throw failure;
}
