import {setTimeout as pause} from 'node:timers/promises';
import type {CallerServer} from './caller_server.js';
import type {OrderDesk} from '../control/order_desk.js';
import type {Serving} from '../host/serving.js';

const CHECK_MS = 20;
const DEFAULT_KEEP_HOSTS_MS = 1_000;
/** Time until every host of the site names a leaving one no more. */
const LEAVING_KNOWN_MS = 1_000;
/** Longest time for which a caller may leave its concluded answer unread. */
const UNREAD_ANSWER_MS = 30_000;

/** Ends the service of callers without cutting off or refusing a request. */
export class CallerDrain {
  constructor(
    private readonly serving: Serving,
    private readonly callers: CallerServer,
    private readonly orders: OrderDesk,
  ) {}

  /** Ends when every request, and every order of a peer, has its answer. */
  async run(): Promise<void> {
    const {callers} = this;
    callers.closeAfterAnswers();
    // A host that has not heard yet may still name this one to a caller, who
    // keeps the address from then on.
    const keepMs =
      this.serving.site.settings()?.callers.keepHostsForMs ??
      DEFAULT_KEEP_HOSTS_MS;
    await pause(LEAVING_KNOWN_MS + keepMs);
    await this.finishEarlyRequests();
    const closed = callers.close();
    await this.finishRequests();
    callers.closeConnections();
    await closed;
    await this.finishOrders();
  }

  /** Lets callers of long answers ask for other hosts before it is closed. */
  private async finishEarlyRequests(): Promise<void> {
    const {exchanges} = this.callers;
    const mark = exchanges.mark();
    if (!exchanges.hasOpenBefore(mark)) return;
    await this.waitWhile(
      () => this.isServing() && exchanges.hasOpenBefore(mark),
    );
    await pause(LEAVING_KNOWN_MS);
  }

  private async finishRequests(): Promise<void> {
    const {exchanges} = this.callers;
    await this.waitWhile(() => this.isServing());
    const untilMs = this.serving.clock.nowMs() + UNREAD_ANSWER_MS;
    await this.waitWhile(
      () => exchanges.count() > 0 && this.serving.clock.nowMs() < untilMs,
    );
  }

  /** Makes no more claims, and answers the peers' calls of those made. */
  private async finishOrders(): Promise<void> {
    await this.waitWhile(() => this.orders.unanswered() > 0);
    this.orders.close();
    await this.waitWhile(() => this.orders.openCalls() > 0);
  }

  private isServing(): boolean {
    return this.serving.inFlightRequests() > 0;
  }

  private async waitWhile(condition: () => boolean): Promise<void> {
    while (condition()) await pause(CHECK_MS);
  }
}
