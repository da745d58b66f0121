import {pause} from '@parsleywood/stand-ins';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {v7} from 'uuid';
import type {CallResult} from './call_result.js';
import {CallerClient} from './caller_client.js';
import type {CallerLoadOptions} from './caller_load_options.js';
import type {CompletionRecord} from './completion_record.js';
import {expectedChatAnswer} from './expected_chat_answer.js';
import {makeQuestion} from './make_question.js';
import type {OrderRecord} from './order_record.js';
import type {SiteReport} from './site_report.js';

const SECOND_MS = 1000;
const MAX_ORDER_SENDS = 4;
const RESEND_AFTER_MS = 300;
const NOT_CONNECTED = 'ECONNREFUSED';

/** Sends completions and orders at a steady rate and keeps all answers. */
export class CallerLoad {
  readonly completions: CompletionRecord[] = [];
  readonly orders: OrderRecord[] = [];

  private readonly clients: CallerClient[];
  private readonly random: RandomGenerator;
  private readonly inFlight = new Set<Promise<void>>();
  private timers: NodeJS.Timeout[] = [];
  private sent = 0;

  constructor(
    private readonly site: SiteReport,
    private readonly options: CallerLoadOptions,
  ) {
    this.random = xoroshiro128plus(options.seed);
    const keys = Object.values(site.keys);
    this.clients = keys.map(key => new CallerClient(key));
  }

  /** Starts to send. */
  start(): void {
    const {completionsPerSecond, ordersPerSecond} = this.options;
    this.timers = [
      setInterval(
        () => this.track(this.complete()),
        SECOND_MS / completionsPerSecond,
      ),
      setInterval(() => this.track(this.order()), SECOND_MS / ordersPerSecond),
    ];
  }

  /** Sends nothing more and waits for the last answers. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    await Promise.all(this.inFlight);
    for (const client of this.clients) await client.close();
  }

  private track(work: Promise<void>): void {
    const tracked = work.finally(() => this.inFlight.delete(tracked));
    this.inFlight.add(tracked);
  }

  private async complete(): Promise<void> {
    const {promptTokens, answerTokens, limitMs, seed} = this.options;
    const client = this.chooseClient();
    const own = `Question ${seed}-${this.sent++}: `;
    const question = makeQuestion(own, promptTokens);
    const sentAtMs = performance.now();
    const expected = expectedChatAnswer(question, answerTokens);
    const result = await this.tryHosts(host =>
      client.complete(host, question, answerTokens, limitMs),
    );
    this.completions.push({sentAtMs, expected, result});
  }

  private async order(): Promise<void> {
    const {limitMs} = this.options;
    const client = this.chooseClient();
    // Tells the hosts when the order was first made.
    const idempotencyKey = v7();
    const answers: CallResult[] = [];
    this.orders.push({sentAtMs: performance.now(), idempotencyKey, answers});
    const path = `${this.site.service}/orders`;
    const options = {idempotencyKey, limitMs, body: {item: idempotencyKey}};
    while (answers.length < MAX_ORDER_SENDS) {
      const answer = await this.tryHosts(host =>
        client.call(host, 'POST', path, options),
      );
      answers.push(answer);
      if (answer.status > 0 && answer.status < 500) return;
      await pause(RESEND_AFTER_MS);
    }
  }

  /** Tries hosts in turn, from a random one, until one is connected to. */
  private async tryHosts<T extends {readonly errorKind?: string}>(
    send: (host: string) => Promise<T>,
  ): Promise<T> {
    const {hosts} = this.site;
    const first = uniformInt(this.random, 0, hosts.length - 1);
    for (let turn = 0; ; turn++) {
      const host = hosts[(first + turn) % hosts.length];
      const result = await send(host?.callers ?? '');
      const refused = result.errorKind?.includes(NOT_CONNECTED) ?? false;
      if (!refused || turn === hosts.length - 1) return result;
    }
  }

  private chooseClient(): CallerClient {
    const index = uniformInt(this.random, 0, this.clients.length - 1);
    const client = this.clients[index];
    if (!client) throw new Error('the site has no client accounts');
    return client;
  }
}
