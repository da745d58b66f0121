import type {IncomingMessage, ServerResponse} from 'node:http';
import {ErrorKind, Failure} from '@parsleywood/errors';
import type {LengthClassSettings, Settings} from '@parsleywood/schema/settings';
import {CrashStatus} from '@parsleywood/requests';
import type {Caller} from './caller.js';
import type {CompletionPath} from './completion_path.js';
import type {CompletionRequest} from './completion_request.js';
import {CompletionSession} from './completion_session.js';
import {parseTimeLimit} from './parse_time_limit.js';
import {readCompletion} from './read_completion.js';
import {refuseCondemned} from './refuse_condemned.js';
import type {Serving} from '../host/serving.js';
import {StreamDelivery} from './stream_delivery.js';
import {throwFailure} from '../host/throw_failure.js';
import {WholeDelivery} from './whole_delivery.js';

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
    if (this.serving.suspects.judge(request) === CrashStatus.BLOCKED) {
      throw refuseCondemned();
    }
    const promptTokens = this.estimateTokens(request, settings);
    const lengthClass = findLengthClass(settings, promptTokens);
    const limitMs =
      parseTimeLimit(
        incoming.headers['request-timeout-ms'],
        settings.timeLimits.maxMs,
      ).unwrapOrElse(throwFailure) ?? lengthClass.timeLimitMs;
    this.start(request, promptTokens, lengthClass, limitMs, response);
  }

  private start(
    request: CompletionRequest,
    promptTokens: number,
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
    const nowMs = serving.clock.nowMs();
    const session = new CompletionSession(
      serving,
      request,
      {
        id: request.id,
        account: request.account,
        model: request.model,
        promptTokens,
        answerTokens: request.maxTokens,
        prefixes: [],
        arrivedMs: nowMs,
        deadlineMs: nowMs + limitMs,
        excludedUpstreams: [],
      },
      lengthClass.name,
      delivery,
    );
    session.start(response);
  }

  private estimateTokens(
    request: CompletionRequest,
    settings: Settings,
  ): number {
    const {account, model, promptBytes} = request;
    const own = settings.models[model];
    if (own === undefined) {
      throw new Failure(
        ErrorKind.UNKNOWN_MODEL,
        `no model "${model}" at this site`,
      );
    }
    const tokens = this.serving.traffic.estimateTokens(
      account,
      model,
      promptBytes,
    );
    const {maxTokens} = request;
    // No engines hold more than the model's context, however many read it.
    if (tokens + maxTokens > own.contextTokens) {
      throw new Failure(
        ErrorKind.PROMPT_TOO_LONG,
        `the prompt has about ${tokens} tokens and asks for ${maxTokens}; model "${model}" takes ${own.contextTokens} in all`,
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
