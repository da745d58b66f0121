import type {IncomingMessage, ServerResponse} from 'node:http';
import {ErrorKind, Failure} from '@parsleywood/errors';
import type {LengthClassSettings, Settings} from '@parsleywood/schema/settings';
import type {Caller} from './caller.js';
import type {CompletionPath} from './completion_path.js';
import type {CompletionRequest} from './completion_request.js';
import {CompletionSession} from './completion_session.js';
import {parseTimeLimit} from './parse_time_limit.js';
import {parseCompletionRequest} from './parse_completion_request.js';
import {createCrashFailure} from './create_crash_failure.js';
import type {Serving} from '../host/serving.js';
import {StreamingResponseWriter} from './streaming_response_writer.js';
import {throwFailure} from '../host/throw_failure.js';
import {BufferedResponseWriter} from './buffered_response_writer.js';

/** Validates completion requests and starts a session for each. */
export class CompletionHandler {
  constructor(private readonly serving: Serving) {}

  /**
   * Validates a request and starts its session.
   *
   * @throws Failure if the request is refused.
   */
  handle(
    path: CompletionPath,
    caller: Caller,
    body: Buffer,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): void {
    const settings = this.serving.requireSettings();
    const request = parseCompletionRequest(
      path,
      body,
      caller.requestId,
      caller.account,
      this.serving.clock.wallMs(),
    ).unwrapOrElse(throwFailure);
    const {model} = request;
    const subject = {...request, name: model};
    const {suspects} = this.serving;
    const block = suspects.findBlock(subject);
    if (block !== undefined) throw createCrashFailure(block, subject.parts);
    const promptTokens = this.checkPromptLength(request, settings);
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
    const headers = serving.replyHead(request.id);
    const writer = request.stream
      ? new StreamingResponseWriter(
          response,
          request.formatter,
          request.id,
          headers,
          request.includeUsage,
        )
      : new BufferedResponseWriter(
          response,
          request.formatter,
          request.id,
          headers,
        );
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
      writer,
    );
    session.start(response);
  }

  /**
   * Returns the estimated number of prompt tokens.
   *
   * @throws Failure if the model is unknown or its context is too small.
   */
  private checkPromptLength(
    request: CompletionRequest,
    settings: Settings,
  ): number {
    const {account, model, promptBytes} = request;
    const modelSettings = settings.models[model];
    if (modelSettings === undefined) {
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
    // The context length is a limit of the model. Running a prompt on several
    // engines does not raise it.
    if (tokens + maxTokens > modelSettings.contextTokens) {
      throw new Failure(
        ErrorKind.PROMPT_TOO_LONG,
        `the prompt has about ${tokens} tokens and the answer up to ${maxTokens}; the context of model "${model}" is ${modelSettings.contextTokens} tokens`,
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
  const lengthClass = found ?? classes.at(-1);
  if (lengthClass === undefined) {
    throw new Failure(
      ErrorKind.INTERNAL,
      'the settings define no length classes',
    );
  }
  return lengthClass;
}
