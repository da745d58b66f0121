import {request} from 'undici';
import {v7} from 'uuid';
import {CallerClient} from './caller_client.js';
import {expectedChatAnswer} from './expected_chat_answer.js';
import {makeQuestion} from './make_question.js';
import type {SiteReport} from './site_report.js';

const ACCOUNT = 'team-a';
const LONG_TOKENS = 200_000;
const ANSWER_TOKENS = 12;
const LIMIT_MS = 120_000;

/** Shows each kind of request at a local site; throws where one goes wrong. */
export class Demo {
  private readonly client: CallerClient;

  constructor(
    private readonly site: SiteReport,
    private readonly print: (line: string) => void,
  ) {
    this.client = new CallerClient(site.keys[ACCOUNT] ?? '');
  }

  /** Runs all steps. */
  async run(): Promise<void> {
    const hosts = await this.showHosts();
    const [first = '', second = first] = hosts;
    const short = 'How far should valve 3 be opened for wet material?';
    await this.showCompletion('Short question', first, short);
    const long = makeQuestion('Sum up this fault log: ', LONG_TOKENS);
    await this.showCompletion('Long prompt', second, long);
    await this.showCall(first);
    await this.showOrder(first, second);
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.client.close();
  }

  private async showHosts(): Promise<string[]> {
    const [{callers} = {callers: ''}] = this.site.hosts;
    const hosts = await this.client.listHosts(callers);
    check(hosts.length > 0, 'no host was named');
    this.print(`Hosts to use, for ${ACCOUNT}: ${hosts.join(', ')}`);
    return hosts;
  }

  private async showCompletion(
    title: string,
    host: string,
    question: string,
  ): Promise<void> {
    const {client} = this;
    const result = await client.complete(
      host,
      question,
      ANSWER_TOKENS,
      LIMIT_MS,
    );
    const expected = expectedChatAnswer(question, ANSWER_TOKENS);
    check(result.whole, `${title}: ${result.errorKind ?? 'cut short'}`);
    check(result.text === expected, `${title}: not the answer to this prompt`);
    const firstMs = Math.round(result.firstTokenMs);
    const size = Buffer.byteLength(question);
    this.print(`${title} (${size} bytes), streamed, by ${result.host}:`);
    this.print(`  first token after ${firstMs} ms: ${result.text}`);
  }

  private async showCall(host: string): Promise<void> {
    const path = `${this.site.service}/levels`;
    const result = await this.client.call(host, 'GET', path);
    check(result.status === 200, `Service call: ${result.body}`);
    this.print(`Service call GET ${path}, by ${result.host}: ${result.body}`);
  }

  private async showOrder(first: string, second: string): Promise<void> {
    const path = `${this.site.service}/orders`;
    const idempotencyKey = v7();
    const options = {idempotencyKey, body: {item: 'box of labels'}};
    const order = await this.client.call(first, 'POST', path, options);
    check(order.status === 201, `Order: ${order.body}`);
    this.print(`Order POST ${path}, by ${order.host}: ${order.body}`);
    const resend = await this.client.call(second, 'POST', path, options);
    const same = resend.status === 201 && resend.body === order.body;
    check(same, `Order sent again: ${resend.status} ${resend.body}`);
    this.print(`Sent again with the same key, by ${resend.host}: same answer`);
    const executions = await this.countExecutions(idempotencyKey);
    check(executions === 1, `the order was executed ${executions} times`);
    this.print('Executions at the service: 1');
  }

  private async countExecutions(idempotencyKey: string): Promise<number> {
    let total = 0;
    for (const {url} of this.site.services) {
      const {body} = await request(`${url}/executions`);
      const list = (await body.json()) as {key: string; count: number}[];
      for (const {key, count} of list) {
        if (key === idempotencyKey) total += count;
      }
    }
    return total;
  }
}

function check(right: boolean, problem: string): void {
  if (!right) throw new Error(problem);
}
