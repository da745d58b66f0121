import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  ConfigurationActionKind as Action,
  ConfigurationEventKind as Kind,
  ConfigurationReplica,
  type ConfigurationAction,
  type ConfigurationEvent,
  type ConfigurationProblemKind,
  type ConfigurationRevision,
} from './index.js';
import {EventQueue} from './event_queue.test.js';
import {FakeService} from './fake_service.test.js';

/** Time until the other hosts know of a start or of a crash. */
const START_DETECTION_MS = 300;
const CRASH_DETECTION_MS = 4_000;
const MAX_LATENCY_MS = 50;
/** Changes of the live hosts within this time are reported together. */
const MEMBERS_BATCH_MS = 100;

interface Host {
  readonly name: string;
  readonly failureDomain: string;
  replica: ConfigurationReplica | undefined;
  /** Deliveries held back during a pause; undefined when not paused. */
  backlog: (() => void)[] | undefined;
  wakeAtMs: number;
  readonly history: ConfigurationRevision[];
  readonly alarms: ConfigurationProblemKind[];
  hostListRevision: number;
  upstreamListRevision: number;
  /** The highest revision of each key sent to peers. */
  readonly sentRevisions: Map<string, number>;
}

/**
 * The hosts of one site on virtual time, with simulated service, network and
 * members.
 */
export class SimulatedFleet {
  readonly queue = new EventQueue();
  readonly service = new FakeService(this.queue);
  readonly hosts: Host[];
  /** Names of hosts that activated or sent an older revision than before. */
  readonly revertedHosts: string[] = [];
  /** Whether messages from one host reach another. */
  isLinked: (from: string, to: string) => boolean = () => true;
  /** Percentage of messages lost; the same percentage is duplicated. */
  lossPercent = 0;
  /** Whether hosts know each other before they have the published host list. */
  hasSeeds = true;
  private readonly byName: ReadonlyMap<string, Host>;
  private readonly random;
  private readonly memberUpdateTimesMs = new Set<number>();
  private startCount = 0;

  constructor(count: number, domains: number, seed: number) {
    this.random = xoroshiro128plus(seed);
    this.hosts = Array.from({length: count}, (_, index) => ({
      name: `h${index}`,
      failureDomain: `d${index % domains}`,
      replica: undefined,
      backlog: undefined,
      wakeAtMs: Infinity,
      history: [],
      alarms: [],
      hostListRevision: 0,
      upstreamListRevision: 0,
      sentRevisions: new Map(),
    }));
    this.byName = new Map(this.hosts.map(host => [host.name, host]));
  }

  get live(): Host[] {
    return this.hosts.filter(({replica}) => replica);
  }

  startAll(): void {
    for (const host of this.hosts) this.start(host);
  }

  /** Starts or restarts a host; a restarted host has lost all its values. */
  start(host: Host): void {
    const seed = this.random.next() + this.startCount++;
    host.replica = new ConfigurationReplica(
      's',
      toMember(host),
      xoroshiro128plus(seed),
    );
    host.backlog = undefined;
    host.wakeAtMs = Infinity;
    host.history.length = 0;
    host.alarms.length = 0;
    host.hostListRevision = host.upstreamListRevision = 0;
    host.sentRevisions.clear();
    this.handle(host, host.replica, {kind: Kind.WAKE});
    if (this.hasSeeds) this.scheduleMemberUpdate(START_DETECTION_MS);
  }

  kill(host: Host): void {
    host.replica = undefined;
    this.scheduleMemberUpdate(CRASH_DETECTION_MS);
  }

  /** Pauses a host for a time; events are delivered to it at the end. */
  pause(host: Host, forMs: number): void {
    const backlog = (host.backlog ??= []);
    this.queue.push(this.queue.nowMs + forMs, () => {
      if (host.backlog === backlog) this.resume(host);
    });
  }

  resume(host: Host): void {
    const backlog = host.backlog ?? [];
    host.backlog = undefined;
    for (const run of backlog) run();
  }

  /**
   * Schedules an update that tells every live host which hosts are then live.
   */
  scheduleMemberUpdate(afterMs: number): void {
    const slots = Math.ceil((this.queue.nowMs + afterMs) / MEMBERS_BATCH_MS);
    const atMs = slots * MEMBERS_BATCH_MS;
    if (this.memberUpdateTimesMs.has(atMs)) return;
    this.memberUpdateTimesMs.add(atMs);
    this.queue.push(atMs, () => {
      const members = this.live.map(toMember);
      for (const host of this.live) {
        this.deliver(host, host.replica!, {kind: Kind.MEMBERS, members});
      }
    });
  }

  run(forMs: number): void {
    this.queue.runUntil(this.queue.nowMs + forMs);
  }

  /**
   * Names of the live hosts whose active revisions are older than those given.
   */
  listOutdated(revision: ConfigurationRevision): string[] {
    return this.live
      .filter(({history}) => {
        const last = history.at(-1) ?? {base: 0, overlay: 0};
        return last.base < revision.base || last.overlay < revision.overlay;
      })
      .map(({name}) => name);
  }

  private deliver(
    host: Host,
    replica: ConfigurationReplica,
    event: ConfigurationEvent,
  ): void {
    if (host.replica !== replica) return;
    if (host.backlog) {
      host.backlog.push(() => this.deliver(host, replica, event));
      return;
    }
    this.handle(host, replica, event);
  }

  private handle(
    host: Host,
    replica: ConfigurationReplica,
    event: ConfigurationEvent,
  ): void {
    const {nowMs} = this.queue;
    for (const action of replica.handle(event, nowMs)) {
      this.perform(host, replica, action);
    }
    this.scheduleWake(host, replica);
  }

  private scheduleWake(host: Host, replica: ConfigurationReplica): void {
    const wakeAtMs = replica.wakeAtMs();
    if (wakeAtMs >= host.wakeAtMs) return;
    host.wakeAtMs = wakeAtMs;
    this.queue.push(wakeAtMs, () => {
      if (host.replica !== replica || host.wakeAtMs !== wakeAtMs) return;
      host.wakeAtMs = Infinity;
      if (replica.wakeAtMs() > this.queue.nowMs) {
        this.scheduleWake(host, replica);
      } else this.deliver(host, replica, {kind: Kind.WAKE});
    });
  }

  private perform(
    host: Host,
    replica: ConfigurationReplica,
    action: ConfigurationAction,
  ): void {
    const reply = (event: ConfigurationEvent) =>
      this.deliver(host, replica, event);
    switch (action.kind) {
      case Action.WATCH:
        return this.service.call(
          host.name,
          action.key,
          action.afterRevision,
          action.waitMs,
          reply,
        );
      case Action.READ:
        return this.service.call(host.name, action.key, 0, 0, reply);
      case Action.SEND:
        return this.send(host, action.to, action);
      case Action.APPLY_SETTINGS: {
        const last = host.history.at(-1) ?? {base: 0, overlay: 0};
        const {base, overlay} = action.revision;
        this.recordRevert(host, base < last.base || overlay < last.overlay);
        host.history.push(action.revision);
        return;
      }
      case Action.APPLY_HOSTS:
        this.recordRevert(host, action.revision <= host.hostListRevision);
        host.hostListRevision = action.revision;
        if (!this.hasSeeds) this.scheduleMemberUpdate(START_DETECTION_MS);
        return;
      case Action.APPLY_UPSTREAMS:
        this.recordRevert(host, action.revision <= host.upstreamListRevision);
        host.upstreamListRevision = action.revision;
        return;
      case Action.RAISE_ALARM:
        host.alarms.push(action.problem.kind);
    }
  }

  private recordRevert(host: Host, isRevert: boolean): void {
    if (isRevert) this.revertedHosts.push(host.name);
  }

  private send(
    from: Host,
    to: string,
    {message}: Extract<ConfigurationAction, {kind: Action.SEND}>,
  ): void {
    if (message.body?.$case === 'digest') {
      for (const {key, latest} of message.body.value.revisions) {
        this.recordRevert(from, latest < (from.sentRevisions.get(key) ?? 0));
        from.sentRevisions.set(key, latest);
      }
    }
    const host = this.byName.get(to);
    const replica = host?.replica;
    if (!replica || !this.isLinked(from.name, to)) return;
    const event = {kind: Kind.MESSAGE as const, from: from.name, message};
    for (let copies = this.drawCopies(); copies > 0; copies--) {
      const latencyMs = uniformInt(this.random, 1, MAX_LATENCY_MS);
      this.queue.push(this.queue.nowMs + latencyMs, () =>
        this.deliver(host, replica, event),
      );
    }
  }

  private drawCopies(): number {
    const drawn = uniformInt(this.random, 0, 99);
    if (drawn < this.lossPercent) return 0;
    return drawn < 2 * this.lossPercent ? 2 : 1;
  }
}

function toMember({name, failureDomain}: Host) {
  return {host: name, failureDomain};
}
