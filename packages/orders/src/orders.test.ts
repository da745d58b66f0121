import {expect} from 'chai';
import fc from 'fast-check';
import {OrderMessage} from '@parsleywood/schema/orders';
import {OrderActionKind} from './order_action_kind.js';
import {Orders} from './orders.js';
import {PeerState} from './peer_state.js';
import {FaultInjector} from './proof/fault_injector.js';
import {Simulation} from './proof/simulation.js';
import {FixedWitnessOrders} from './proof/fixed_witness_orders.js';
import {Safeguard} from './safeguard.js';

const CALL_LIMIT_MS = 600;
const STEP_CODE_MAX = 2 ** 31 - 1;

function makeSite(hosts: number, ...disabled: Safeguard[]): Simulation {
  return new Simulation({
    hosts,
    seed: 1,
    dispatchDelayMaxMs: 0,
    makeHost: self => new Orders(self, undefined, new Set(disabled)),
  });
}

/** Makes a host claim orders itself, because it forwards to no suspected peer. */
function suspectAllPeers(site: Simulation, name: string): void {
  for (const other of site.hosts.keys()) {
    site.markPeer(name, other, PeerState.SUSPECTED);
  }
}

/** Encodes the step in which two hosts claim an order while a third restarts. */
function encodeConcurrentSubmits(parameter: number): number {
  return 15 + 16 * (4 + 8 * parameter);
}

/** Makes a host whose messages are encoded and decoded, at fractional times. */
function makeWireFormatHost(self: {host: string; id: string}): Orders {
  const orders = new Orders(self);
  const handle = orders.handle.bind(orders);
  orders.handle = (event, nowMs) => {
    const shifted =
      'wallMs' in event ? {...event, wallMs: event.wallMs + 0.3} : event;
    return handle(shifted, nowMs + 0.7).map(action => {
      if (action.kind !== OrderActionKind.SEND) return action;
      const bytes = OrderMessage.encode(action.message).finish();
      return {...action, message: OrderMessage.decode(bytes)};
    });
  };
  return orders;
}

function listReplies(site: Simulation): string[] {
  return site.replies.map(({kind, ran}) => `${kind}/${ran}`);
}

describe('Orders under random faults', () => {
  for (const [hosts, numRuns] of [
    [3, 250],
    [6, 100],
    [9, 40],
  ] as const) {
    it(`runs each order at most once over ${hosts} hosts`, () => {
      const step = fc.oneof(
        {weight: 3, arbitrary: fc.nat(STEP_CODE_MAX)},
        {
          weight: 1,
          arbitrary: fc.nat(STEP_CODE_MAX >> 7).map(encodeConcurrentSubmits),
        },
      );
      const schedule = fc.record({
        seed: fc.nat(),
        delayMaxMs: fc.integer({min: 1, max: 20}),
        lossPercent: fc.integer({min: 0, max: 15}),
        steps: fc.array(step, {minLength: 10, maxLength: 60}),
      });
      const property = fc.property(schedule, ({steps, ...network}) => {
        const site = new Simulation({
          hosts,
          duplicatePercent: 10,
          makeHost: self => new Orders(self),
          ...network,
        });
        const finalAnswers = new FaultInjector(site).perform(steps);
        expect(new Set(finalAnswers)).to.eql(new Set(['']));
        expect(site.findViolations()).to.eql([]);
        expect(site.findUnanswered()).to.eql([]);
      });
      fc.assert(property, {seed: 1, numRuns});
    });
  }
});

describe('Orders serving calls', () => {
  it('runs an order once and answers a retry with the first outcome', () => {
    const site = makeSite(3);
    for (const host of ['h0', 'h1', 'h2', 'h0']) site.submit(0, host);
    site.advance(300);
    site.submit(0, 'h1');
    site.advance(10);
    expect(listReplies(site)).to.eql(Array.from({length: 5}, () => '/yes'));
    expect([...site.runs.values()]).to.eql([1]);
  });

  it('works with messages in wire format and fractional times', () => {
    const site = new Simulation({
      hosts: 3,
      seed: 1,
      makeHost: makeWireFormatHost,
    });
    for (const host of ['h0', 'h1', 'h2']) site.submit(0, host);
    site.advance(300);
    site.restart('h1');
    site.advance(300);
    site.submit(2, 'h1');
    site.advance(300);
    expect(listReplies(site)).to.eql(Array.from({length: 4}, () => '/yes'));
  });

  it('treats the same key of two accounts as two orders', () => {
    const site = makeSite(3);
    site.submit(0, 'h0');
    site.submit(1, 'h1');
    site.advance(300);
    const [first, second] = [...site.runs.keys()].sort();
    expect(first?.slice(1)).to.equal(second?.slice(1));
    expect([...site.runs.values()]).to.eql([1, 1]);
  });

  for (const hosts of [3, 6, 9]) {
    for (const fault of ['none', 'crash', 'pause'] as const) {
      it(`runs new orders within their limit: ${hosts} hosts, fault: ${fault}`, () => {
        const site = makeSite(hosts);
        if (fault !== 'none') site[fault]('h1');
        const live = [...site.hosts.keys()].filter(name => name !== 'h1');
        for (let index = 10; index < 50; index++) {
          site.submit(index, live[index % live.length] ?? '');
        }
        site.advance(2 * CALL_LIMIT_MS);
        const late = site.replies.filter(({tookMs}) => tookMs > CALL_LIMIT_MS);
        expect([...new Set(listReplies(site))]).to.eql(['/yes']);
        expect([site.runs.size, late]).to.eql([40, []]);
      });
    }
  }

  it('refuses new orders at once on the minority side of a partition', () => {
    const site = makeSite(3);
    site.network.partition(['h0']);
    for (const peer of ['h1', 'h2']) site.markPeer('h0', peer, PeerState.DEAD);
    site.submit(0, 'h0');
    site.submit(2, 'h1');
    site.advance(CALL_LIMIT_MS);
    const [refused] = site.replies.filter(({host}) => host === 'h0');
    expect(refused).to.include({kind: 'order_undecided', ran: 'unknown'});
    expect(refused?.tookMs).to.be.below(200);
    expect(site.runs.size).to.equal(1);
  });

  it('keeps claim records and runs new orders during a rolling restart', () => {
    const site = makeSite(3);
    let closingIndex = 10;
    site.submit(0, 'h0');
    site.advance(100);
    for (const name of ['h0', 'h1', 'h2']) {
      site.close(name);
      site.submit(closingIndex++, name);
      site.advance(100);
      site.restart(name);
      site.advance(200);
    }
    for (const name of site.hosts.keys()) site.submit(0, name);
    site.advance(CALL_LIMIT_MS);
    site.submit(2, 'h1');
    site.advance(100);
    expect(listReplies(site)).to.eql([
      ...Array.from({length: 4}, () => '/yes'),
      ...Array.from({length: 3}, () => 'order_outcome_unknown/unknown'),
      '/yes',
    ]);
    expect([...site.runs.values()]).to.eql([1, 1, 1, 1, 1]);
  });

  it('runs new orders after a majority restarts at once, and no old one again', () => {
    const site = makeSite(3);
    site.submit(0, 'h0');
    site.advance(100);
    for (const name of ['h0', 'h1']) site.restart(name);
    site.advance(3_000);
    site.submit(2, 'h0');
    for (const name of site.hosts.keys()) site.submit(0, name);
    site.advance(CALL_LIMIT_MS);
    expect([...site.runs.values()]).to.eql([1, 1]);
    expect(site.findViolations()).to.eql([]);
  });

  it('keeps claim records and runs new orders while new hosts replace all others', () => {
    const site = makeSite(3);
    site.submit(0, 'h0');
    site.advance(100);
    const members = ['h0', 'h1', 'h2'];
    for (const joining of ['h3', 'h4', 'h5']) {
      members.push(joining);
      site.publishView(members, members);
      site.advance(200);
      const leaving = members.shift() ?? '';
      site.publishView(members, members);
      site.close(leaving);
      site.advance(200);
      site.crash(leaving);
    }
    site.submit(0, 'h3');
    site.submit(2, 'h4');
    site.advance(CALL_LIMIT_MS);
    expect(listReplies(site)).to.have.members([
      '/yes',
      'order_outcome_unknown/unknown',
      '/yes',
    ]);
    expect([...site.runs.values()]).to.eql([1, 1]);
  });
});

describe('Orders without one safeguard', () => {
  const schedules: Record<Safeguard, (site: Simulation) => void> = {
    [Safeguard.RECOVERY]: restartTwoInTurn,
    [Safeguard.KNOWN_CLAIMS]: restartTwoInTurn,
    [Safeguard.CRASH_VECTORS]: delayVoteOfEarlierIncarnation,
    [Safeguard.VIEW_CLOSURE]: shrinkViewInPartition,
    [Safeguard.KEY_AGE]: restartAllAtOnce,
    [Safeguard.ABANDONMENT]: resubmitAfterUndecided,
  };
  for (const safeguard of Object.values(Safeguard)) {
    it(`violates at-most-once execution only without ${safeguard}`, () => {
      const run = (...disabled: Safeguard[]) => {
        const hosts = safeguard === Safeguard.ABANDONMENT ? 6 : 3;
        const shrinks = safeguard === Safeguard.VIEW_CLOSURE;
        const site = makeSite(shrinks ? 9 : hosts, ...disabled);
        schedules[safeguard](site);
        return site.findViolations().length;
      };
      expect([run(safeguard), run()]).to.eql([1, 0]);
    });
  }

  it('never runs an order reported as not run, even if its voters restart', () => {
    const site = makeSite(4);
    site.network.partition(['h0', 'h1']);
    suspectAllPeers(site, 'h0');
    site.submit(0, 'h0');
    site.advance(CALL_LIMIT_MS);
    expect(listReplies(site)).to.eql(['order_undecided/no']);
    for (const name of ['h0', 'h1']) site.restart(name);
    site.network.heal();
    site.advance(3_000);
    site.submit(0, 'h2');
    site.submit(2, 'h3');
    site.advance(CALL_LIMIT_MS);
    expect(site.findViolations()).to.eql([]);
    expect(site.runs.size).to.equal(1);
  });

  it('runs no order twice in a partition where the witness baseline does', () => {
    const count = (makeHost: (self: {host: string; id: string}) => Orders) => {
      const site = new Simulation({hosts: 9, seed: 1, makeHost});
      const members = ['h0', 'h1', 'h2', 'h3', 'h4'];
      site.network.partition(members);
      site.publishView(members, members);
      site.advance(50);
      for (let index = 10; index < 410; index++) {
        site.submit(index, 'h5');
        site.submit(index, 'h0');
      }
      site.advance(2 * CALL_LIMIT_MS);
      return site.findViolations().length;
    };
    const witnesses = (self: {host: string; id: string}) =>
      new FixedWitnessOrders(self) as unknown as Orders;
    expect(count(witnesses)).to.be.above(0);
    expect(count(self => new Orders(self))).to.equal(0);
  });

  /**
   * Restarts two of three hosts in turn after a claim and claims the order
   * again. Restarted hosts without the claim records would grant it again.
   */
  function restartTwoInTurn(site: Simulation): void {
    suspectAllPeers(site, 'h0');
    site.submit(0, 'h0');
    site.advance(100);
    site.restart('h0');
    site.advance(100);
    site.restart('h1');
    site.advance(100);
    suspectAllPeers(site, 'h0');
    site.submit(0, 'h0');
    site.advance(CALL_LIMIT_MS);
  }

  /**
   * Restarts all hosts, so that no claim record is left. Without the check of
   * the key age, the old key would pass for a new one.
   */
  function restartAllAtOnce(site: Simulation): void {
    site.submit(0, 'h0');
    site.advance(100);
    for (const name of ['h0', 'h1', 'h2']) site.crash(name);
    for (const name of ['h0', 'h1', 'h2']) site.restart(name);
    site.advance(100);
    site.submit(0, 'h0');
    site.advance(CALL_LIMIT_MS);
  }

  /**
   * Delivers a vote that h1 sent before its restart after h1 has recovered and
   * can vote again. Counting both votes would give two claims a quorum.
   */
  function delayVoteOfEarlierIncarnation(site: Simulation): void {
    site.start('h3', 1);
    site.advance(20);
    suspectAllPeers(site, 'h3');
    suspectAllPeers(site, 'h2');
    for (const [from, to] of [
      ['h3', 'h0'],
      ['h3', 'h2'],
      ['h1', 'h3'],
      ['h2', 'h0'],
    ] as const) {
      site.network.holdMessages(from, to);
    }
    site.submit(0, 'h3');
    site.advance(5);
    site.restart('h1');
    site.network.releaseMessages('h2', 'h0');
    site.advance(10);
    site.network.holdMessages('h2', 'h0');
    site.submit(0, 'h2');
    site.advance(10);
    site.network.releaseMessages('h3', 'h0');
    site.network.releaseMessages('h1', 'h3');
    site.advance(10);
  }

  /**
   * Publishes a view of five hosts on one side of a partition, while the other
   * side holds a quorum of the old view of nine. If the old view is not closed
   * first, each side runs the order.
   */
  function shrinkViewInPartition(site: Simulation): void {
    const members = ['h0', 'h1', 'h2', 'h3', 'h4'];
    const informed = ['h0', 'h1', 'h2', 'h3'];
    site.network.partition(informed);
    site.publishView(members, informed);
    suspectAllPeers(site, 'h5');
    suspectAllPeers(site, 'h0');
    site.submit(0, 'h5');
    site.submit(0, 'h0');
    site.advance(CALL_LIMIT_MS);
  }

  /**
   * Resubmits an order after a caller got `ran: no`. If the claim is not
   * abandoned, it gets its quorum after the partition and runs.
   */
  function resubmitAfterUndecided(site: Simulation): void {
    site.network.partition(['h0', 'h1', 'h2']);
    suspectAllPeers(site, 'h0');
    site.submit(0, 'h0');
    site.advance(CALL_LIMIT_MS);
    expect(listReplies(site)).to.eql(['order_undecided/no']);
    site.network.heal();
    site.submit(0, 'h0');
    site.advance(CALL_LIMIT_MS);
  }
});
