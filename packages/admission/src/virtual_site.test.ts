import TinyQueue from 'tinyqueue';

import type {Admission} from './admission.js';
import type {AdmissionAction} from './admission_action.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import type {AdmissionEvent} from './admission_event.js';
import {AdmissionEventKind} from './admission_event_kind.js';
import type {AdmissionRequest} from './admission_request.js';

interface Outcome {
  readonly request: AdmissionRequest;
  readonly host: string;
  readonly submittedMs: number;
  admittedMs?: number;
  refusedMs?: number;
  retryAfterMs?: number;
  firstTokenMs?: number;
  finishedMs?: number;
}

interface Task {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

interface VirtualSiteOptions {
  readonly hosts: ReadonlyMap<string, Admission>;
  /** Number of servers shared by all hosts; each prefills one request at a time. */
  readonly servers: number;
  readonly tokensPerMs: number;
  readonly answerMs?: number;
  /** Whether a message between two hosts is lost. */
  readonly isLost?: (from: string, to: string, nowMs: number) => boolean;
  readonly latencyMs?: number;
  readonly onRefused?: (outcome: Outcome, nowMs: number) => void;
}

/**
 * Discrete-event simulation of hosts that share servers. The servers take admitted
 * requests in order of admission.
 */
export class VirtualSite {
  nowMs = 0;
  readonly outcomes = new Map<string, Outcome>();
  /** Number of messages sent between hosts, including lost ones. */
  messages = 0;
  /** Number of available servers; 0 simulates an outage. */
  servers: number;
  private nextSequence = 0;
  private busyServers = 0;
  private readonly backlog: Outcome[] = [];
  private readonly wakeTimes = new Map<string, number>();
  private readonly tasks = new TinyQueue<Task>(
    [],
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );

  constructor(private readonly options: VirtualSiteOptions) {
    this.servers = options.servers;
    for (const host of options.hosts.keys()) {
      const others = [...options.hosts.keys()].filter(name => name !== host);
      this.schedule(0, () =>
        this.dispatch(host, {kind: AdmissionEventKind.PEERS, hosts: others}),
      );
    }
  }

  schedule(atMs: number, run: () => void): void {
    this.tasks.push({atMs, sequence: this.nextSequence++, run});
  }

  submit(atMs: number, host: string, request: AdmissionRequest): void {
    this.schedule(atMs, () => {
      this.outcomes.set(request.id, {request, host, submittedMs: this.nowMs});
      this.dispatch(host, {kind: AdmissionEventKind.REQUESTED, ...request});
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

  private dispatch(host: string, event: AdmissionEvent): void {
    const admission = this.options.hosts.get(host);
    if (!admission) return;
    for (const action of admission.handle(event, this.nowMs)) {
      this.perform(host, action);
    }
    const wakeMs = admission.wakeAtMs();
    if (wakeMs === Infinity || this.wakeTimes.get(host) === wakeMs) return;
    this.wakeTimes.set(host, wakeMs);
    this.schedule(Math.max(wakeMs, this.nowMs), () => {
      if (this.wakeTimes.get(host) !== wakeMs) return;
      this.wakeTimes.delete(host);
      this.dispatch(host, {kind: AdmissionEventKind.WAKE});
    });
  }

  private perform(host: string, action: AdmissionAction): void {
    if (action.kind === AdmissionActionKind.SEND) {
      const {to, message} = action;
      this.messages++;
      if (this.options.isLost?.(host, to, this.nowMs)) return;
      this.schedule(this.nowMs + (this.options.latencyMs ?? 1), () =>
        this.dispatch(to, {
          kind: AdmissionEventKind.LIMIT_MESSAGE,
          from: host,
          message,
        }),
      );
      return;
    }
    const outcome = this.outcomes.get(action.id);
    if (!outcome) throw new Error(`action for unknown request ${action.id}`);
    if ((outcome.admittedMs ?? outcome.refusedMs) !== undefined) {
      throw new Error(`second answer to request ${action.id}`);
    }
    if (action.kind === AdmissionActionKind.REFUSE) {
      outcome.refusedMs = this.nowMs;
      outcome.retryAfterMs = action.retryAfterMs;
      this.options.onRefused?.(outcome, this.nowMs);
      return;
    }
    outcome.admittedMs = this.nowMs;
    this.backlog.push(outcome);
    this.startIdleServers();
  }

  /** Starts requests of the backlog on idle servers. */
  startIdleServers(): void {
    while (this.busyServers < this.servers && this.backlog.length > 0) {
      const outcome = this.backlog.shift();
      if (!outcome) return;
      this.busyServers++;
      const prefillMs = outcome.request.tokens / this.options.tokensPerMs;
      this.schedule(this.nowMs + prefillMs, () => this.finishPrefill(outcome));
    }
  }

  private finishPrefill(outcome: Outcome): void {
    const {id} = outcome.request;
    this.busyServers--;
    outcome.firstTokenMs = this.nowMs;
    this.schedule(this.nowMs + (this.options.answerMs ?? 0), () => {
      outcome.finishedMs = this.nowMs;
      this.dispatch(outcome.host, {
        kind: AdmissionEventKind.FINISHED,
        id,
        succeeded: true,
      });
    });
    this.dispatch(outcome.host, {kind: AdmissionEventKind.FIRST_TOKEN, id});
    this.startIdleServers();
  }
}
