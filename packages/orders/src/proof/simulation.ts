import {ExecutionStatus} from '@parsleywood/errors';
import type {OrderOutcome} from '@parsleywood/schema/peer';
import type {Decision, Incarnation} from '@parsleywood/types';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {makeOutcome} from './make_outcome.js';
import type {OrderAction} from '../order_action.js';
import {OrderActionKind} from '../order_action_kind.js';
import type {OrderEvent} from '../order_event.js';
import {OrderEventKind} from '../order_event_kind.js';
import type {PeerState} from '../peer_state.js';
import {Network} from './network.js';
import type {NetworkOptions} from './network_options.js';
import {VirtualTime} from '@parsleywood/types/testing';

const START_WALL_MS = 1_700_000_000_000;
const CLOCK_SKEW_MS = 4;
const CALL_LIMIT_MS = 600;
const STARTUP_MS = 60;
const OPEN_AFTER_MS = 40;
const UNTIMED_KEY_INDEX = 4;

type Subject = Decision<OrderEvent, OrderAction> & {
  hasClaimRecords?(): boolean;
};

interface Options extends NetworkOptions {
  readonly hosts: number;
  readonly seed: number;
  readonly makeHost: (self: Incarnation) => Subject;
  /** Maximum delay between a dispatch action and the send, in milliseconds. */
  readonly dispatchDelayMaxMs?: number;
  readonly limitMs?: number;
}

interface Host {
  readonly name: string;
  readonly self: Incarnation;
  readonly subject: Subject;
  readonly skewMs: number;
  up: boolean;
  paused: boolean;
  viewNumber: number;
  readonly stalled: (() => void)[];
}

interface Reply {
  readonly order: string;
  readonly host: string;
  readonly kind: string;
  readonly ran: string;
  readonly tookMs: number;
}

interface SubmittedCall {
  readonly order: string;
  readonly atMs: number;
  readonly host: Host;
  answers: number;
}

interface Forward {
  readonly from: Host;
  readonly call: string;
  readonly to: string;
}

/** Simulates hosts, network, faults and an upstream service in virtual time. */
export class Simulation {
  messages = 0;
  /** Number of times that each order was sent to the service. */
  readonly runs = new Map<string, number>();
  readonly replies: Reply[] = [];
  readonly hosts = new Map<string, Host>();
  readonly views: string[][] = [[]];
  private readonly time = new VirtualTime();
  private readonly random;
  readonly network: Network;
  private readonly calls = new Map<string, SubmittedCall>();
  private readonly forwards = new Map<string, Forward>();
  private readonly keys = new Map<number, string>();

  constructor(private readonly options: Options) {
    this.random = xoroshiro128plus(options.seed);
    this.network = new Network(this.time, options, (from, to) =>
      this.draw(from, to),
    );
    const members = Array.from({length: options.hosts}, (_, i) => `h${i}`);
    this.views.push(members);
    for (const name of members) this.start(name, 1);
    this.advance(STARTUP_MS);
  }

  private get nowMs(): number {
    return this.time.nowMs;
  }

  /** Lists orders that ran twice, or ran although a caller got `ran: no`. */
  findViolations(): string[] {
    const ranTwice = [...this.runs].filter(([, count]) => count > 1);
    const ranDespiteNo = this.replies.filter(
      ({order, ran}) => ran === ExecutionStatus.NO && this.runs.has(order),
    );
    return [
      ...ranTwice.map(([order, count]) => `${order} ran ${count} times`),
      ...ranDespiteNo.map(({order, host}) => `${order} ran, ${host} said no`),
    ];
  }

  /** Lists calls on running hosts past their limit without exactly one answer. */
  findUnanswered(): string[] {
    const {limitMs = CALL_LIMIT_MS} = this.options;
    return [...this.calls]
      .filter(([call, {host, atMs, answers}]) => {
        const isDue = atMs + limitMs < this.nowMs;
        const isRunning = host.up && !host.paused;
        return !call.startsWith('f') && isDue && isRunning && answers !== 1;
      })
      .map(([call]) => call);
  }

  submit(index: number, name: string): void {
    const host = this.hosts.get(name);
    if (!host?.up) return;
    const account = index % 2 === 0 ? 'a' : 'b';
    const key = this.makeKey(Math.floor(index / 2));
    const call = `c${this.calls.size}`;
    const order = `${account}/${key}`;
    this.calls.set(call, {order, atMs: this.nowMs, host, answers: 0});
    const limitMs = this.options.limitMs ?? CALL_LIMIT_MS;
    this.deliver(host, {
      kind: OrderEventKind.SUBMIT,
      call,
      account,
      key,
      fingerprint: order,
      deadlineMs: this.nowMs + limitMs,
      wallMs: 0,
      forwarded: false,
    });
  }

  start(name: string, viewNumber: number): void {
    const skewMs = this.draw(-CLOCK_SKEW_MS / 2, CLOCK_SKEW_MS / 2);
    const startMs = START_WALL_MS + Math.ceil(this.nowMs) + skewMs;
    const previous = this.hosts.get(name);
    const earliestMs = previous ? Number.parseInt(previous.self.id, 10) + 1 : 0;
    const self = {host: name, id: `${Math.max(startMs, earliestMs)}-0`};
    const subject = this.options.makeHost(self);
    const host: Host = {
      name,
      self,
      subject,
      skewMs,
      up: true,
      paused: false,
      viewNumber,
      stalled: [],
    };
    this.hosts.set(name, host);
    const openAt = new Date(START_WALL_MS + OPEN_AFTER_MS).toISOString();
    this.deliver(host, {
      kind: OrderEventKind.SETTINGS,
      orders: {
        keyMaxAgeMs: 3_600_000,
        clockSkewMs: CLOCK_SKEW_MS,
        claimTimeoutMs: 150,
        openAt,
      },
    });
    this.deliverView(host, viewNumber);
  }

  crash(name: string): void {
    const host = this.hosts.get(name);
    if (!host) return;
    host.up = false;
    for (const [call, forward] of this.forwards) {
      if (forward.to !== name) continue;
      this.forwards.delete(call);
      this.failForward(forward);
    }
  }

  restart(name: string, viewNumber = this.views.length - 1): void {
    this.crash(name);
    this.start(name, viewNumber);
  }

  pause(name: string): void {
    const host = this.hosts.get(name);
    if (host) host.paused = true;
  }

  resume(name: string): void {
    const host = this.hosts.get(name);
    if (!host?.paused) return;
    host.paused = false;
    for (const run of host.stalled.splice(0)) run();
  }

  /** Publishes a host list; hosts that are not informed learn it from peers. */
  publishView(members: readonly string[], informed: readonly string[]): void {
    const number = this.views.push([...members]) - 1;
    for (const name of members) {
      if (!this.hosts.has(name)) this.start(name, number);
    }
    for (const name of informed) {
      const host = this.hosts.get(name);
      if (host) this.deliverView(host, number);
    }
  }

  close(name: string): void {
    const host = this.hosts.get(name);
    if (host) this.deliver(host, {kind: OrderEventKind.CLOSE});
  }

  markPeer(to: string, about: string, state: PeerState): void {
    const host = this.hosts.get(to);
    const peer = this.hosts.get(about);
    if (!host || !peer || to === about) return;
    const {id} = peer.self;
    this.deliver(host, {
      kind: OrderEventKind.PEER,
      host: about,
      incarnation: id,
      state,
    });
  }

  advance(ms: number): void {
    this.time.advance(ms);
  }

  draw(from: number, to: number): number {
    return uniformInt(this.random, from, to);
  }

  private makeKey(index: number): string {
    if (index === UNTIMED_KEY_INDEX) return 'untimed';
    const known = this.keys.get(index);
    if (known) return known;
    const hex = (START_WALL_MS + Math.floor(this.nowMs))
      .toString(16)
      .padStart(12, '0');
    const random = index.toString(16).padStart(12, '0');
    const key = `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${random}`;
    this.keys.set(index, key);
    return key;
  }

  private deliverView(host: Host, number: number): void {
    host.viewNumber = Math.max(host.viewNumber, number);
    this.deliver(host, {
      kind: OrderEventKind.VIEW,
      number,
      members: this.views[number] ?? [],
      leaving: [],
    });
  }

  private deliver(host: Host, event: OrderEvent): void {
    if (!host.up) return;
    if (host.paused) {
      host.stalled.push(() => this.deliver(host, event));
      return;
    }
    const wallMs = START_WALL_MS + this.nowMs + host.skewMs;
    const stamped = 'wallMs' in event ? {...event, wallMs} : event;
    for (const action of host.subject.handle(stamped, this.nowMs)) {
      this.performAction(host, action);
    }
    const wakeAtMs = host.subject.wakeAtMs();
    if (wakeAtMs === Infinity) return;
    this.time.at(Math.max(wakeAtMs, this.nowMs), () => {
      if (host.subject.wakeAtMs() > this.nowMs) return;
      this.deliver(host, {kind: OrderEventKind.WAKE});
    });
  }

  private performAction(host: Host, action: OrderAction): void {
    switch (action.kind) {
      case OrderActionKind.SEND: {
        this.messages++;
        const {message} = action;
        this.sendOverNetwork(host.name, action.to, to =>
          this.deliver(to, {
            kind: OrderEventKind.MESSAGE,
            from: host.name,
            incarnation: host.self.id,
            message,
            wallMs: 0,
          }),
        );
        break;
      }
      case OrderActionKind.FORWARD:
        this.forward(host, action.call, action.to);
        break;
      case OrderActionKind.DISPATCH: {
        const order = `${action.account}/${action.key}`;
        const delayMs = this.draw(0, this.options.dispatchDelayMaxMs ?? 20);
        this.time.at(this.nowMs + delayMs, () => {
          this.dispatch(host, order, action.account, action.key);
        });
        break;
      }
      case OrderActionKind.ANSWER:
        this.reply(host, action.call, action.outcome);
        break;
      case OrderActionKind.FAIL: {
        const {kind, ran} = action.failure;
        this.reply(host, action.call, makeOutcome(kind, ran));
        break;
      }
    }
  }

  private sendOverNetwork(
    from: string,
    to: string,
    run: (host: Host) => void,
    lost?: () => void,
  ): void {
    const arrive = () => {
      const host = this.hosts.get(to);
      if (host?.up) run(host);
      else lost?.();
    };
    this.network.send(from, to, arrive, lost);
  }

  private forward(host: Host, call: string, to: string): void {
    const order = this.calls.get(call)?.order ?? '';
    const forwardedCall = `f${this.calls.size}`;
    this.calls.set(forwardedCall, {order, atMs: this.nowMs, host, answers: 0});
    const forward = {from: host, call, to};
    this.forwards.set(forwardedCall, forward);
    this.messages++;
    const separatorIndex = order.indexOf('/');
    let delivered = false;
    this.sendOverNetwork(
      host.name,
      to,
      target => {
        if (delivered) return;
        delivered = true;
        this.deliver(target, {
          kind: OrderEventKind.SUBMIT,
          call: forwardedCall,
          account: order.slice(0, separatorIndex),
          key: order.slice(separatorIndex + 1),
          fingerprint: order,
          deadlineMs: this.nowMs + (this.options.limitMs ?? CALL_LIMIT_MS),
          wallMs: 0,
          forwarded: true,
        });
      },
      () => this.failForward(forward),
    );
  }

  private failForward({from, call, to}: Forward): void {
    // A forward over a broken link fails early, late or without any report.
    const delayMs = this.draw(1, 400);
    if (delayMs > 300) return;
    this.time.at(this.nowMs + delayMs, () => {
      this.deliver(from, {kind: OrderEventKind.FORWARD_FAILED, call, to});
    });
  }

  private dispatch(
    host: Host,
    order: string,
    account: string,
    key: string,
  ): void {
    if (!host.up) return;
    if (host.paused) {
      host.stalled.push(() => this.dispatch(host, order, account, key));
      return;
    }
    this.runs.set(order, (this.runs.get(order) ?? 0) + 1);
    const {dispatchDelayMaxMs = 20} = this.options;
    const serviceMs = dispatchDelayMaxMs > 0 ? this.draw(1, 100) : 0;
    this.time.at(this.nowMs + serviceMs, () => {
      this.deliver(host, {
        kind: OrderEventKind.OUTCOME,
        account,
        key,
        outcome: makeOutcome('', ExecutionStatus.YES),
      });
    });
  }

  private reply(host: Host, call: string, outcome: OrderOutcome): void {
    const forward = this.forwards.get(call);
    if (forward) {
      this.forwards.delete(call);
      this.messages++;
      this.sendOverNetwork(
        host.name,
        forward.from.name,
        () =>
          this.deliver(forward.from, {
            kind: OrderEventKind.FORWARDED_OUTCOME,
            call: forward.call,
            from: host.name,
            outcome,
          }),
        () => this.failForward(forward),
      );
      return;
    }
    const submitted = this.calls.get(call);
    if (!submitted) return;
    submitted.answers++;
    this.replies.push({
      order: submitted.order,
      host: host.name,
      kind: outcome.failureKind,
      ran: outcome.ran,
      tookMs: this.nowMs - submitted.atMs,
    });
  }
}
