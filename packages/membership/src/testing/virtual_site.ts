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
const LOSS_STEPS = 10_000;
const SEEDS_A_SITE = 100_000;

interface Process {
  readonly host: string;
  readonly incarnation: string;
  readonly membership: Membership;
  paused: boolean;
  ended: boolean;
  held: MembershipEvent[];
}

/** Hosts of one site that exchange messages in virtual time. */
export class VirtualSite {
  readonly changes: SiteChange[] = [];
  /** Actions other than messages and state changes, by host. */
  readonly notices: {host: string; action: MembershipAction}[] = [];
  lossRate: number;
  private readonly processes = new Map<string, Process>();
  private readonly agenda = new Map<number, (() => void)[]>();
  private readonly random: Random;
  private cut: (from: string, to: string) => boolean = () => false;
  private list: HostList;
  private starts = 0;
  private timeMs = 0;

  constructor(private readonly options: SiteOptions) {
    this.random = new Random(options.seed);
    this.lossRate = options.lossRate ?? 0;
    this.list = buildList(options.hosts, options.failureDomains);
  }

  /** Starts all hosts and lets them find each other. */
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

  /** Starts a new incarnation of a host that reads the list as given. */
  start(host: string, list = this.list, revision = 1): string {
    const incarnation = `${1_000_000 + this.timeMs}-${this.starts.toString(16)}`;
    const seed = this.options.seed * SEEDS_A_SITE + this.starts++;
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
      ended: false,
      held: [],
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
    if (process !== undefined) process.ended = true;
  }

  pause(host: string): void {
    this.find(host).paused = true;
  }

  resume(host: string): void {
    const process = this.find(host);
    const held = [{kind: MembershipEventKind.WAKE} as const, ...process.held];
    process.paused = false;
    process.held = [];
    for (const event of held) this.dispatch(process, event);
  }

  /** Loses each message for which the function holds. */
  partition(cut: (from: string, to: string) => boolean): void {
    this.cut = cut;
  }

  /** Gives an event to a host now. */
  tell(host: string, event: MembershipEvent): void {
    this.dispatch(this.find(host), event);
  }

  membership(host: string): Membership {
    return this.find(host).membership;
  }

  /** What one host holds of another. */
  member(observer: string, host: string): Member {
    const members = this.membership(observer).members();
    const found = members.find(member => member.host === host);
    if (found === undefined) throw new Error(`"${host}" is no member`);
    return found;
  }

  run(durationMs: number): void {
    const endMs = this.timeMs + durationMs;
    for (; this.timeMs < endMs; this.timeMs++) {
      for (const task of this.agenda.get(this.timeMs) ?? []) task();
      this.agenda.delete(this.timeMs);
    }
  }

  private find(host: string): Process {
    const process = this.processes.get(host);
    if (process === undefined) throw new Error(`host "${host}" never started`);
    return process;
  }

  private dispatch(process: Process, event: MembershipEvent): void {
    if (process.ended) return;
    if (process.paused) {
      process.held.push(event);
      return;
    }
    const actions = process.membership.handle(event, this.timeMs);
    for (const action of actions) this.perform(process, action);
    this.planWake(process);
  }

  private planWake(process: Process): void {
    const dueMs = process.membership.wakeAtMs();
    if (dueMs === Infinity) return;
    this.plan(Math.max(this.timeMs + 1, Math.ceil(dueMs)), () => {
      if (process.membership.wakeAtMs() !== dueMs || process.paused) return;
      this.dispatch(process, {kind: MembershipEventKind.WAKE});
    });
  }

  private perform(process: Process, action: MembershipAction): void {
    this.options.onAction?.(process.host, action);
    switch (action.kind) {
      case MembershipActionKind.SEND:
        this.deliver(process, action);
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
        this.notices.push({host: process.host, action});
    }
  }

  private deliver(
    process: Process,
    action: MembershipAction & {kind: MembershipActionKind.SEND},
  ): void {
    const {host: from, incarnation} = process;
    const {to, message} = action;
    const isLost =
      this.random.drawBelow(LOSS_STEPS) < this.lossRate * LOSS_STEPS;
    const latencyMs = MIN_LATENCY_MS + this.random.drawBelow(LATENCY_SPREAD_MS);
    if (isLost || this.cut(from, to)) return;
    const kind = MembershipEventKind.MESSAGE;
    this.plan(this.timeMs + latencyMs, () => {
      const receiver = this.processes.get(to);
      if (receiver === undefined) return;
      this.dispatch(receiver, {kind, from, incarnation, message});
    });
  }

  private plan(timeMs: number, task: () => void): void {
    const tasks = this.agenda.get(timeMs) ?? [];
    tasks.push(task);
    this.agenda.set(timeMs, tasks);
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
