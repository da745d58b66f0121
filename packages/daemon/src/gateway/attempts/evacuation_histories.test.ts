import type {RouteMatch} from '@parsleywood/forwarding';
import {createRoute} from '@parsleywood/forwarding/testing';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import {expect} from 'chai';
import fc from 'fast-check';
import {EvacuatingHost} from '../../testing/evacuating_host.js';
import {EvacuatingStore} from '../../testing/evacuating_store.js';

const DOMAINS = ['a', 'b', 'c', 'd'];
const HOSTS = 6;
const STEP_MS = 200;
const BOUND_MS = 5_000;
/** Time for which an evacuation holds that a copy of the store lacks. */
const HOLD_MS = 10_000;
/** Hosts of an earlier version, and hosts that watch the store. */
const OLD = new Set(['h0', 'h3']);
const ON_DUTY = new Set(['h0', 'h1', 'h2']);

type Kind =
  'evacuate' | 'restore' | 'copy' | 'down' | 'refuse' | 'cut' | 'heal';
const KINDS: readonly (Kind | 'start' | 'repeat')[] = [
  'evacuate',
  'evacuate',
  'restore',
  'copy',
  'down',
  'refuse',
  'cut',
  'heal',
  'start',
  'repeat',
];

interface Message {
  readonly from: string;
  readonly to: string;
  readonly message: FleetMessage;
}

/** A site in a drawn history, and what must not be chosen in it. */
class History {
  private nowMs = 0;
  private readonly store = new EvacuatingStore(DOMAINS);
  private readonly hosts = new Map<string, EvacuatingHost>();
  private readonly contactSinceMs = new Map<string, number>();
  private readonly refused = new Set<string>();
  private readonly cut = new Set<string>();
  private readonly requiredSinceMs = new Map<string, number>();
  private readonly lostUntilMs = new Map<string, number>();
  private readonly settled = new Set<string>();
  private isDown = false;
  private queue: Message[] = [];
  private readonly past: Message[] = [];
  checks = 0;

  constructor() {
    for (let at = 0; at < HOSTS; at++) this.start(`h${at}`);
  }

  apply(kind: (typeof KINDS)[number], at: number): void {
    const host = `h${at % HOSTS}`;
    const domain = DOMAINS[at % DOMAINS.length] ?? '';
    if (kind === 'evacuate') this.evacuate(domain);
    else if (kind === 'restore') {
      this.store.write(domain, true);
      this.withdraw(domain);
    } else if (kind === 'copy') this.restoreStore(at % 4);
    else if (kind === 'down') this.isDown = true;
    else if (kind === 'refuse') this.refused.add(host);
    else if (kind === 'cut') this.cut.add(host);
    else if (kind === 'start') this.start(host);
    else if (kind === 'repeat') this.queue.push(...this.past.slice(at % 50, 5));
    else {
      this.isDown = false;
      this.refused.clear();
      this.cut.clear();
    }
  }

  run(ms: number, draw: number): void {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs;) {
      this.nowMs += STEP_MS;
      for (const [domain, endMs] of this.lostUntilMs) {
        if (this.nowMs >= endMs) this.withdraw(domain);
      }
      this.deliver();
      for (const host of this.hosts.values()) this.step(host);
      for (const host of this.hosts.values()) this.check(host, draw);
    }
  }

  private step(host: EvacuatingHost): void {
    const {name} = host;
    const isServed = this.hosts.size > 0 && this.listServed(name).length > 0;
    if (this.reads(name)) host.read(this.store, ON_DUTY.has(name) || !isServed);
    else host.failToRead();
    const others = this.listOthers(name);
    host.askPeers(others.flatMap(one => this.hosts.get(one)?.beat ?? []));
    const isTold = this.listServed(name).some(one => !OLD.has(one));
    const hasContact = this.reads(name) || isTold;
    if (!hasContact) this.contactSinceMs.delete(name);
    else if (!this.contactSinceMs.has(name)) {
      this.contactSinceMs.set(name, this.nowMs);
    }
  }

  private check(host: EvacuatingHost, draw: number): void {
    if (host.isOld) return;
    const homes = ['north'];
    const match = {route: createRoute({homeRegions: homes})} as RouteMatch;
    const atHome = host.choose(match, draw).map(({id}) => id);
    expect(atHome.filter(id => id !== 'a' && id !== 'b')).to.deep.equal([]);
    const any = {route: createRoute({})} as RouteMatch;
    const chosen = new Set(host.choose(any, 0).map(({id}) => id));
    for (const [domain, sinceMs] of this.requiredSinceMs) {
      const key = `${host.name}/${domain}`;
      const contactMs = this.contactSinceMs.get(host.name) ?? Infinity;
      const dueMs = Math.max(sinceMs, contactMs) + BOUND_MS;
      const isLost = this.lostUntilMs.has(domain);
      if (!isLost && this.nowMs >= dueMs) this.settled.add(key);
      if (!this.settled.has(key)) continue;
      this.checks++;
      if (chosen.has(domain)) {
        throw new Error(`${host.name} chose ${domain} at ${this.nowMs}`);
      }
    }
  }

  private evacuate(domain: string): void {
    this.store.write(domain, false);
    const wasLost = this.lostUntilMs.delete(domain);
    if (this.requiredSinceMs.has(domain) && !wasLost) return;
    // Hosts that knew what the copy lacked must not have forgotten it.
    this.requiredSinceMs.set(domain, this.nowMs);
  }

  private withdraw(domain: string): void {
    this.requiredSinceMs.delete(domain);
    this.lostUntilMs.delete(domain);
    for (const name of this.hosts.keys()) {
      this.settled.delete(`${name}/${domain}`);
    }
  }

  private restoreStore(lost: number): void {
    this.store.restore(lost);
    for (const domain of DOMAINS) {
      const sinceMs = this.requiredSinceMs.get(domain) ?? Infinity;
      if (this.store.has(domain)) {
        this.requiredSinceMs.set(domain, Math.min(sinceMs, this.nowMs));
        this.lostUntilMs.delete(domain);
      } else if (this.nowMs - sinceMs < BOUND_MS) this.withdraw(domain);
      else if (!this.lostUntilMs.has(domain)) {
        this.lostUntilMs.set(domain, this.nowMs + HOLD_MS);
      }
    }
  }

  private start(name: string): void {
    this.contactSinceMs.delete(name);
    for (const domain of DOMAINS) this.settled.delete(`${name}/${domain}`);
    const host = new EvacuatingHost(
      name,
      OLD.has(name),
      () => this.nowMs,
      () => this.listOthers(name),
      (to, message) => this.queue.push({from: name, to, message}),
    );
    this.hosts.set(name, host);
  }

  private deliver(): void {
    const due = this.queue;
    this.queue = [];
    this.past.unshift(...due);
    this.past.length = Math.min(this.past.length, 60);
    for (const {from, to, message} of due) {
      if (this.listOthers(from).includes(to)) {
        this.hosts.get(to)?.handle(from, message);
      }
    }
  }

  private reads(name: string): boolean {
    return !this.isDown && !this.refused.has(name);
  }

  private listOthers(name: string): string[] {
    if (this.cut.has(name)) return [];
    return [...this.hosts.keys()].filter(
      one => one !== name && !this.cut.has(one),
    );
  }

  /** Lists the other hosts that watch the store and that a host hears. */
  private listServed(name: string): string[] {
    return this.listOthers(name).filter(
      one => ON_DUTY.has(one) && this.reads(one),
    );
  }
}

// Guards against requests in evacuated domains, or in regions that are not their home.
describe('EligibleUpstreams in drawn histories', () => {
  it('chooses none in a domain evacuated 5 s ago, nor any outside of home regions', () => {
    const step = fc.record({
      kind: fc.constantFrom(...KINDS),
      at: fc.nat({max: 99}),
      pauseMs: fc.constantFrom(0, 200, 1_000, 3_000, 7_000),
      draw: fc.double({min: 0, max: 0.99, noNaN: true}),
    });
    let checks = 0;
    fc.assert(
      fc.property(fc.array(step, {minLength: 4, maxLength: 25}), steps => {
        const history = new History();
        history.run(1_000, 0);
        for (const {kind, at, pauseMs, draw} of steps) {
          history.apply(kind, at);
          history.run(pauseMs, draw);
        }
        history.run(BOUND_MS, 0);
        checks += history.checks;
      }),
      {seed: 1, numRuns: 500},
    );
    expect(checks).to.be.greaterThan(10_000);
  });
});
