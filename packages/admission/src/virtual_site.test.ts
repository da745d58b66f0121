import TinyQueue from 'tinyqueue';

import type {Admission} from './admission.js';
import type {AdmissionAction} from './admission_action.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import type {AdmissionEvent} from './admission_event.js';
import {AdmissionEventKind} from './admission_event_kind.js';
import type {Offer} from './offer.js';

interface Outcome {
  readonly offer: Offer;
  readonly host: string;
  readonly offeredMs: number;
  admittedMs?: number;
  refusedMs?: number;
  retryAfterMs?: number;
  firstTokenMs?: number;
  finishedMs?: number;
}

interface Task {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

interface VirtualSiteOptions {
  readonly hosts: ReadonlyMap<string, Admission>;
  /** Servers behind the hosts: first come, first served, one request each. */
  readonly servers: number;
  readonly tokensPerMs: number;
  readonly answerMs?: number;
  /** Whether a message is lost. */
  readonly isLost?: (from: string, to: string, nowMs: number) => boolean;
  readonly latencyMs?: number;
  readonly onRefused?: (outcome: Outcome, nowMs: number) => void;
}

/** Hosts on virtual time before one pool of servers. */
export class VirtualSite {
  nowMs = 0;
  readonly outcomes = new Map<string, Outcome>();
  /** Bytes are not counted; one entry each message. */
  messages = 0;
  /** Servers that work; set to 0 for an outage. */
  servers: number;
  private order = 0;
  private busy = 0;
  private readonly pool: Outcome[] = [];
  private readonly wakes = new Map<string, number>();
  private readonly tasks = new TinyQueue<Task>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  constructor(private readonly options: VirtualSiteOptions) {
    this.servers = options.servers;
    for (const host of options.hosts.keys()) {
      const others = [...options.hosts.keys()].filter(name => name !== host);
      this.at(0, () =>
        this.tell(host, {kind: AdmissionEventKind.PEERS, hosts: others}),
      );
    }
  }

  at(atMs: number, run: () => void): void {
    this.tasks.push({atMs, order: this.order++, run});
  }

  offer(atMs: number, host: string, offer: Offer): void {
    this.at(atMs, () => {
      this.outcomes.set(offer.id, {offer, host, offeredMs: this.nowMs});
      this.tell(host, {kind: AdmissionEventKind.OFFER, ...offer});
    });
  }

  run(untilMs: number): void {
    for (;;) {
      const next = this.tasks.peek();
      if (!next || next.atMs > untilMs) break;
      this.tasks.pop();
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = untilMs;
  }

  private tell(host: string, event: AdmissionEvent): void {
    const admission = this.options.hosts.get(host);
    if (!admission) return;
    for (const action of admission.handle(event, this.nowMs)) {
      this.act(host, action);
    }
    const wakeMs = admission.wakeAtMs();
    if (wakeMs === Infinity || this.wakes.get(host) === wakeMs) return;
    this.wakes.set(host, wakeMs);
    this.at(Math.max(wakeMs, this.nowMs), () => {
      if (this.wakes.get(host) !== wakeMs) return;
      this.wakes.delete(host);
      this.tell(host, {kind: AdmissionEventKind.WAKE});
    });
  }

  private act(host: string, action: AdmissionAction): void {
    if (action.kind === AdmissionActionKind.SEND) {
      const {to, message} = action;
      this.messages++;
      if (this.options.isLost?.(host, to, this.nowMs)) return;
      this.at(this.nowMs + (this.options.latencyMs ?? 1), () =>
        this.tell(to, {
          kind: AdmissionEventKind.LIMIT_MESSAGE,
          from: host,
          message,
        }),
      );
      return;
    }
    const outcome = this.outcomes.get(action.id);
    if (!outcome) throw new Error(`no offer ${action.id}`);
    if ((outcome.admittedMs ?? outcome.refusedMs) !== undefined) {
      throw new Error(`second answer to ${action.id}`);
    }
    if (action.kind === AdmissionActionKind.REFUSE) {
      outcome.refusedMs = this.nowMs;
      outcome.retryAfterMs = action.retryAfterMs;
      this.options.onRefused?.(outcome, this.nowMs);
      return;
    }
    outcome.admittedMs = this.nowMs;
    this.pool.push(outcome);
    this.serve();
  }

  /** Lets the idle servers take from the pool. */
  serve(): void {
    while (this.busy < this.servers && this.pool.length > 0) {
      const outcome = this.pool.shift();
      if (!outcome) return;
      this.busy++;
      const prefillMs = outcome.offer.tokens / this.options.tokensPerMs;
      this.at(this.nowMs + prefillMs, () => this.endPrefill(outcome));
    }
  }

  private endPrefill(outcome: Outcome): void {
    const {id} = outcome.offer;
    this.busy--;
    outcome.firstTokenMs = this.nowMs;
    this.at(this.nowMs + (this.options.answerMs ?? 0), () => {
      outcome.finishedMs = this.nowMs;
      this.tell(outcome.host, {
        kind: AdmissionEventKind.FINISHED,
        id,
        succeeded: true,
      });
    });
    this.tell(outcome.host, {kind: AdmissionEventKind.FIRST_TOKEN, id});
    this.serve();
  }
}
