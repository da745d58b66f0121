import {pause} from '@parsleywood/stand-ins';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request, type Dispatcher} from 'undici';
import type {LoadPlan} from './load_plan.js';
import type {LoadResult} from './load_result.js';
import {makeQuestion} from './make_question.js';

const FIRST_TOKEN = /"(text|content)":"[^"]/;
const LAST_EVENT = /\[DONE\]|"finish":"/;
const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
/** Sets the lanes apart, so that their requests do not keep step. */
const LANE_START_MS = 7;
/** Longest time that can be recorded, in microseconds. */
const LONGEST_US = 600_000_000;
/** Text kept to find an event that two chunks share, in characters. */
const TAIL_LENGTH = 256;

/** Sends requests and measures the time to each first token. */
export class LoadGenerator {
  private readonly agent = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_US,
    numberOfSignificantValueDigits: 3,
  });
  private readonly failures = new Map<string, number>();
  private readonly filler: string;
  private readonly random: RandomGenerator;
  private sent = 0;
  private answered = 0;

  constructor(private readonly plan: LoadPlan) {
    const {promptTokens, escapedShare, seed} = plan;
    this.random = xoroshiro128plus(seed);
    const question = makeQuestion('', promptTokens);
    const escaped = Math.floor(question.length * escapedShare);
    this.filler = '\n'.repeat(escaped) + question.slice(escaped);
  }

  /** Sends all requests of the plan. */
  async run(): Promise<LoadResult> {
    const startMs = performance.now();
    const lanes = Array.from({length: this.plan.concurrency}, (_, lane) =>
      pause(lane * LANE_START_MS).then(() => this.runLane()),
    );
    await Promise.all(lanes);
    const seconds = (performance.now() - startMs) / MS_PER_SECOND;
    await this.agent.close();
    return {
      answered: this.answered,
      failures: Object.fromEntries(this.failures),
      firstTokenP50Ms: this.readMs(50),
      firstTokenP95Ms: this.readMs(95),
      firstTokenP99Ms: this.readMs(99),
      perSecond: this.answered / seconds,
    };
  }

  private readMs(percentile: number): number {
    const value = this.histogram.getValueAtPercentile(percentile);
    return value / MICROSECONDS_PER_MS;
  }

  private async runLane(): Promise<void> {
    while (this.sent < this.plan.requests) {
      const index = this.sent++;
      try {
        await this.sendOne(index);
        this.answered++;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.failures.set(reason, (this.failures.get(reason) ?? 0) + 1);
      }
    }
  }

  private async sendOne(index: number): Promise<void> {
    const {urls, seed} = this.plan;
    const url = urls[index % urls.length] ?? '';
    const body = this.makeBody(`${seed}-${index}: `);
    const startMs = performance.now();
    const answer = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: this.makeHeaders(`${seed}-${index}`),
      body,
    });
    if (answer.statusCode !== 200) {
      const text = await answer.body.text();
      const kind = /"kind":"([a-z_]+)"/.exec(text)?.[1] ?? '';
      throw new Error(`${answer.statusCode} ${kind}`);
    }
    await this.readAnswer(answer.body, startMs);
  }

  private async readAnswer(
    body: Dispatcher.ResponseData['body'],
    startMs: number,
  ): Promise<void> {
    let tail = '';
    let started = false;
    let ended = false;
    body.setEncoding('utf8');
    for await (const chunk of body) {
      const text = tail + String(chunk);
      if (!started && FIRST_TOKEN.test(text)) {
        started = true;
        const tookMs = performance.now() - startMs;
        this.histogram.recordValue(Math.round(tookMs * MICROSECONDS_PER_MS));
      }
      ended ||= LAST_EVENT.test(text);
      tail = text.slice(-TAIL_LENGTH);
    }
    if (!started || !ended) throw new Error('cut short');
  }

  private makeBody(own: string): string {
    const {model, answerTokens} = this.plan;
    const low = Math.ceil(answerTokens / 2);
    const maxTokens = uniformInt(this.random, low, low + answerTokens);
    const content = own + this.filler.slice(own.length);
    const messages = [{role: 'user', content}];
    return JSON.stringify({
      model,
      messages,
      max_tokens: maxTokens,
      stream: true,
    });
  }

  private makeHeaders(id: string): Record<string, string> {
    const {direct, key, limitMs} = this.plan;
    const own: Record<string, string> = direct
      ? {
          'parsleywood-attempt': id,
          'parsleywood-owner': 'load/1',
          'parsleywood-limit-ms': String(limitMs),
        }
      : {
          authorization: `Bearer ${key}`,
          'request-timeout-ms': String(limitMs),
        };
    return {...own, 'content-type': 'application/json'};
  }
}
