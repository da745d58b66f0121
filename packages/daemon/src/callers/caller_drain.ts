import {setTimeout as pause} from 'node:timers/promises';
import type {CallerServer} from './caller_server.js';
import type {OrderDesk} from '../control/order_desk.js';
import type {Serving} from '../host/serving.js';

const CHECK_INTERVAL_MS = 20;
const DEFAULT_KEEP_HOSTS_MS = 1_000;
/** Time until every host of the site names a leaving one no more. */
const LEAVING_PROPAGATION_MS = 1_000;
/** Longest time for which a caller may leave its concluded answer unread. */
const UNREAD_ANSWER_TIMEOUT_MS = 30_000;

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
    await pause(LEAVING_PROPAGATION_MS + keepMs);
    await this.waitForEarlyRequests();
    const closed = callers.close();
    await this.waitForRequests();
    callers.closeConnections();
    await closed;
    await this.waitForOrders();
  }

  /** Lets callers of long answers ask for other hosts before it is closed. */
  private async waitForEarlyRequests(): Promise<void> {
    const {openRequests} = this.callers;
    const mark = openRequests.currentMark();
    if (!openRequests.hasOpenBefore(mark)) return;
    await this.pollWhile(
      () => this.hasRequestsInFlight() && openRequests.hasOpenBefore(mark),
    );
    await pause(LEAVING_PROPAGATION_MS);
  }

  private async waitForRequests(): Promise<void> {
    const {openRequests} = this.callers;
    await this.pollWhile(() => this.hasRequestsInFlight());
    const deadlineMs = this.serving.clock.nowMs() + UNREAD_ANSWER_TIMEOUT_MS;
    await this.pollWhile(
      () => openRequests.count() > 0 && this.serving.clock.nowMs() < deadlineMs,
    );
  }

  /** Makes no more claims, and answers the peers' calls of those made. */
  private async waitForOrders(): Promise<void> {
    await this.pollWhile(() => this.orders.unanswered() > 0);
    this.orders.close();
    await this.pollWhile(() => this.orders.openCalls() > 0);
  }

  private hasRequestsInFlight(): boolean {
    return this.serving.inFlightRequests() > 0;
  }

  private async pollWhile(condition: () => boolean): Promise<void> {
    while (condition()) await pause(CHECK_INTERVAL_MS);
  }
}
