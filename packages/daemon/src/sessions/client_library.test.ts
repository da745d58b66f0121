import {expect} from 'chai';
import OpenAI from 'openai';
import {TestSite} from '../testing/test_site.js';

describe('unmodified OpenAI client library', () => {
  let site: TestSite;
  let client: OpenAI;
  before(async () => {
    site = await TestSite.start(1);
    const baseURL = `${site.urls[0] ?? ''}/v1`;
    client = new OpenAI({apiKey: 'test-key-one', baseURL, maxRetries: 0});
  });
  after(() => site.stop());

  const messages = [{role: 'user' as const, content: 'hello'}];

  it('receives the same text streamed and non-streamed', async () => {
    const request = {model: 'test-llm', messages, max_tokens: 6};
    const whole = await client.chat.completions.create(request);
    const stream = await client.chat.completions.create({
      ...request,
      stream: true,
      stream_options: {include_usage: true},
    });
    let text = '';
    let finish: string | null = null;
    let tokens: number | undefined;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
      finish = chunk.choices[0]?.finish_reason ?? finish;
      tokens = chunk.usage?.completion_tokens ?? tokens;
    }
    expect({text, finish, tokens}).to.eql({
      text: whole.choices[0]?.message.content,
      finish: 'length',
      tokens: 6,
    });
  });

  it('receives completions and the model list', async () => {
    const answer = await client.completions.create({
      model: 'test-llm',
      prompt: 'hello',
      max_tokens: 2,
    });
    const models = await client.models.list();
    expect(answer.choices[0]?.text.split(' ').length).to.equal(2);
    expect(models.data.map(model => model.id)).to.eql(['test-llm']);
  });

  it('receives errors with status and error code', async () => {
    const wrongKey = new OpenAI({
      apiKey: 'wrong',
      baseURL: client.baseURL,
      maxRetries: 0,
    });
    const request = {model: 'test-llm', messages};
    expect(await catchApiError(wrongKey, request)).to.eql([
      401,
      'unauthenticated',
    ]);
    const unknown = {...request, model: 'other'};
    expect(await catchApiError(client, unknown)).to.eql([404, 'unknown_model']);
  });

  it('aborting a stream ends it on the engine', async () => {
    const stream = await client.chat.completions.create({
      ...{model: 'test-llm', messages, max_tokens: 100_000},
      stream: true,
    });
    for await (const chunk of stream) {
      if (chunk.choices[0]?.delta.content) break;
    }
    stream.controller.abort();
    for (;;) {
      const answer = await fetch(`${site.engineUrl}/state`);
      const {streams} = (await answer.json()) as {streams: unknown[]};
      if (streams.length === 0) break;
    }
  });
});

async function catchApiError(
  client: OpenAI,
  request: OpenAI.ChatCompletionCreateParamsNonStreaming,
): Promise<unknown> {
  try {
    await client.chat.completions.create(request);
  } catch (error) {
    if (error instanceof OpenAI.APIError) {
      return [error.status, error.code] as unknown;
    }
    throw error;
  }
  return undefined;
}
