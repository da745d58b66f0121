import {setTimeout as pause} from 'node:timers/promises';
import type {CallerServer} from './caller_server.js';
import type {OrderDesk} from '../control/order_desk.js';
import type {Serving} from '../host/serving.js';

const CHECK_INTERVAL_MS = 20;
const DEFAULT_KEEP_HOSTS_MS = 1_000;
/** Time until no host of the site lists a leaving host to callers any more. */
const LEAVING_PROPAGATION_MS = 1_000;
/** Limit on the wait for callers to read answers that are complete. */
const UNREAD_ANSWER_TIMEOUT_MS = 30_000;

/** Stops serving callers gracefully: no request is cut off or refused. */
export class CallerDrain {
  constructor(
    private readonly serving: Serving,
    private readonly callers: CallerServer,
    private readonly orders: OrderDesk,
  ) {}

  /** Resolves when every request, and every order of a peer, is answered. */
  async run(): Promise<void> {
    const {callers} = this;
    callers.closeAfterAnswers();
    // A host that does not yet know that this one is leaving may still list it
    // to a caller. The caller then uses the address for `keepHostsForMs`.
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

  /**
   * Waits until the requests that are open now are answered. Callers of long
   * answers then have some time to request other hosts before the server closes.
   */
  private async waitForEarlyRequests(): Promise<void> {
    const {openRequests} = this.callers;
    const mark = openRequests.currentMark();
    if (!openRequests.hasOpenBefore(mark)) return;
    await this.pollWhile(
      () => this.hasRequestsInFlight() && openRequests.hasOpenBefore(mark),
    );
    await pause(LEAVING_PROPAGATION_MS);
  }

  /** Waits until all requests are answered and, with a limit, answers are read. */
  private async waitForRequests(): Promise<void> {
    const {openRequests} = this.callers;
    await this.pollWhile(() => this.hasRequestsInFlight());
    const deadlineMs = this.serving.clock.nowMs() + UNREAD_ANSWER_TIMEOUT_MS;
    await this.pollWhile(
      () => openRequests.count() > 0 && this.serving.clock.nowMs() < deadlineMs,
    );
  }

  /** Claims no more orders, and answers the calls of peers that are open. */
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
