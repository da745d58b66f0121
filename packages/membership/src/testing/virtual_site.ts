import type {HostList} from '@parsleywood/schema/host_list';
import type {Member} from '../member.js';
import {Membership} from '../membership.js';
import type {MembershipAction} from '../membership_action.js';
import {MembershipActionKind} from '../membership_action_kind.js';
import type {MembershipEvent} from '../membership_event.js';
import {MembershipEventKind} from '../membership_event_kind.js';
import {Random} from '../random.js';
import type {SiteChange} from './site_change.js';
import type {SiteOptions} from './site_options.js';

const SETTLED_MS = 10_000;
const MIN_LATENCY_MS = 1;
const LATENCY_SPREAD_MS = 3;
const LOSS_RATE_STEPS = 10_000;
const SEEDS_PER_SITE = 100_000;

interface Process {
  readonly host: string;
  readonly incarnation: string;
  readonly membership: Membership;
  paused: boolean;
  crashed: boolean;
  pendingEvents: MembershipEvent[];
}

/** Simulates the hosts of one site and their messages in virtual time. */
export class VirtualSite {
  readonly changes: SiteChange[] = [];
  /** Actions other than messages and state changes, by host. */
  readonly otherActions: {host: string; action: MembershipAction}[] = [];
  lossRate: number;
  private readonly processes = new Map<string, Process>();
  private readonly scheduledTasks = new Map<number, (() => void)[]>();
  private readonly random: Random;
  private isCut: (from: string, to: string) => boolean = () => false;
  private list: HostList;
  private startCount = 0;
  private timeMs = 0;

  constructor(private readonly options: SiteOptions) {
    this.random = new Random(options.seed);
    this.lossRate = options.lossRate ?? 0;
    this.list = buildList(options.hosts, options.failureDomains);
  }

  /** Starts all hosts and runs until they have discovered each other. */
  static startSettled(options: SiteOptions): VirtualSite {
    const site = new VirtualSite(options);
    site.startAll();
    site.run(SETTLED_MS);
    return site;
  }

  get nowMs(): number {
    return this.timeMs;
  }

  get hosts(): string[] {
    return this.list.hosts.map(host => host.name);
  }

  get published(): HostList {
    return this.list;
  }

  /** Starts a new incarnation of a host; returns the incarnation id. */
  start(host: string, list = this.list, revision = 1): string {
    const incarnation = `${1_000_000 + this.timeMs}-${this.startCount.toString(16)}`;
    const seed = this.options.seed * SEEDS_PER_SITE + this.startCount++;
    const self = {host, id: incarnation};
    const {settings} = this.options;
    const address = findAddress(list, host);
    const membership = new Membership({self, address, settings, seed});
    this.crash(host);
    const process = {
      host,
      incarnation,
      membership,
      paused: false,
      crashed: false,
      pendingEvents: [],
    };
    this.processes.set(host, process);
    this.dispatch(process, {kind: MembershipEventKind.LIST, list, revision});
    return incarnation;
  }

  startAll(): void {
    for (const host of this.hosts) this.start(host);
  }

  crash(host: string): void {
    const process = this.processes.get(host);
    if (process !== undefined) process.crashed = true;
  }

  pause(host: string): void {
    this.findProcess(host).paused = true;
  }

  resume(host: string): void {
    const process = this.findProcess(host);
    const pendingEvents = [
      {kind: MembershipEventKind.WAKE} as const,
      ...process.pendingEvents,
    ];
    process.paused = false;
    process.pendingEvents = [];
    for (const event of pendingEvents) this.dispatch(process, event);
  }

  /** Drops each message for which the function returns true. */
  partition(isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut;
  }

  /** Passes an event to a host immediately. */
  tell(host: string, event: MembershipEvent): void {
    this.dispatch(this.findProcess(host), event);
  }

  membership(host: string): Membership {
    return this.findProcess(host).membership;
  }

  /** Returns the observer's view of a host. */
  getMember(observer: string, host: string): Member {
    const members = this.membership(observer).members();
    const member = members.find(one => one.host === host);
    if (member === undefined) throw new Error(`no member named "${host}"`);
    return member;
  }

  run(durationMs: number): void {
    const endMs = this.timeMs + durationMs;
    for (; this.timeMs < endMs; this.timeMs++) {
      for (const task of this.scheduledTasks.get(this.timeMs) ?? []) task();
      this.scheduledTasks.delete(this.timeMs);
    }
  }

  private findProcess(host: string): Process {
    const process = this.processes.get(host);
    if (process === undefined) throw new Error(`host "${host}" is not started`);
    return process;
  }

  private dispatch(process: Process, event: MembershipEvent): void {
    if (process.crashed) return;
    if (process.paused) {
      process.pendingEvents.push(event);
      return;
    }
    const actions = process.membership.handle(event, this.timeMs);
    for (const action of actions) this.applyAction(process, action);
    this.scheduleWake(process);
  }

  private scheduleWake(process: Process): void {
    const dueMs = process.membership.wakeAtMs();
    if (dueMs === Infinity) return;
    this.schedule(Math.max(this.timeMs + 1, Math.ceil(dueMs)), () => {
      if (process.membership.wakeAtMs() !== dueMs || process.paused) return;
      this.dispatch(process, {kind: MembershipEventKind.WAKE});
    });
  }

  private applyAction(process: Process, action: MembershipAction): void {
    this.options.onAction?.(process.host, action);
    switch (action.kind) {
      case MembershipActionKind.SEND:
        this.deliverMessage(process, action);
        return;
      case MembershipActionKind.MEMBER_CHANGED:
        this.changes.push({
          timeMs: this.timeMs,
          observer: process.host,
          host: action.host,
          incarnation: action.incarnation,
          state: action.state,
          proved: action.proved,
        });
        return;
      default:
        this.otherActions.push({host: process.host, action});
    }
  }

  private deliverMessage(
    process: Process,
    action: MembershipAction & {kind: MembershipActionKind.SEND},
  ): void {
    const {host: from, incarnation} = process;
    const {to, message} = action;
    const isLost =
      this.random.drawBelow(LOSS_RATE_STEPS) < this.lossRate * LOSS_RATE_STEPS;
    const latencyMs = MIN_LATENCY_MS + this.random.drawBelow(LATENCY_SPREAD_MS);
    if (isLost || this.isCut(from, to)) return;
    const kind = MembershipEventKind.MESSAGE;
    this.schedule(this.timeMs + latencyMs, () => {
      const receiver = this.processes.get(to);
      if (receiver === undefined) return;
      this.dispatch(receiver, {kind, from, incarnation, message});
    });
  }

  private schedule(timeMs: number, task: () => void): void {
    const tasks = this.scheduledTasks.get(timeMs) ?? [];
    tasks.push(task);
    this.scheduledTasks.set(timeMs, tasks);
  }
}

function buildList(hosts: number, failureDomains: number): HostList {
  return {
    hosts: Array.from({length: hosts}, (_, index) => ({
      name: `entry-${index + 1}`,
      callers: `10.0.${index >> 8}.${index & 0xff}:8080`,
      peers: `10.0.${index >> 8}.${index & 0xff}:8082`,
      failureDomain: `domain-${Math.floor((index * failureDomains) / hosts) + 1}`,
      state: 'live' as const,
    })),
  };
}

function findAddress(list: HostList, host: string): string {
  return list.hosts.find(entry => entry.name === host)?.peers ?? '';
}
