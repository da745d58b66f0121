import {expect} from 'chai';
import {ErrorKind, Failure} from '@parsleywood/errors';
import {SiteReplica, UpstreamStage} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {ExplainedHost} from '../../testing/explained_host.js';

const NOW_MS = 10_000;
const KEY = 'key-mill';

describe('RequestExplainer', () => {
  const kinds: Record<string, Record<string, string>> = {
    'a short prompt': {},
    'a very large prompt': {promptTokens: '250000', path: '/ask/1?stream=1'},
    'a plain call': {path: '/orders/1', promptTokens: '0'},
  };
  for (const [kind, changes] of Object.entries(kinds)) {
    it(`names for ${kind} the upstreams to which it is then sent`, () => {
      const host = new ExplainedHost(24);
      for (let busy = 0; busy < 3; busy++) host.place();
      const {choice, upstreams, account} = host.explain(changes);
      const {upstream, helpers, plan} =
        host.place(changes).currentAttempt!.choice;
      expect(choice?.upstream).to.equal(upstream.id);
      expect(choice?.helpers).to.deep.equal(helpers.map(({id}) => id));
      expect(choice?.expectedMs).to.equal(plan && Math.round(plan.expectedMs));
      const isLarge = Number(changes['promptTokens']) > 0;
      expect(helpers.length > 0).to.equal(isLarge);
      expect(upstreams.every(({isCandidate}) => isCandidate)).to.equal(true);
      expect(account).to.equal('mill');
    });
  }

  it('leaves turns, placements and random numbers to requests, and sends nothing', () => {
    const [asked, other] = [new ExplainedHost(2), new ExplainedHost(2)];
    for (const host of [asked, other]) {
      host.limits.update('e0', 2, 0, NOW_MS);
      host.limits.update('e1', 2, 0, NOW_MS);
    }
    for (let times = 0; times < 3; times++) {
      expect(asked.explain().refusal?.retryAfterMs).to.equal(500);
    }
    const plans = [asked, other].map(({limits}) =>
      [0, 0].map(() => limits.planReturnMs(['e0', 'e1'], 2, NOW_MS)),
    );
    expect(plans[0]).to.deep.equal(plans[1]);
    asked.explain({path: '/orders/1'});
    expect([asked.draws, asked.placements.size]).to.deep.equal([0, 0]);
    expect(asked.published).to.deep.equal([]);
  });

  it('gives each excluded upstream the reason that keeps requests from it', () => {
    const host = new ExplainedHost(8);
    const {replica, rests, limits, health} = host;
    const draining = {service: 'llm', stage: UpstreamStage.DRAINING};
    replica.upstreams.write(createUpstream('e1', draining), NOW_MS);
    replica.upstreams.leaving.record('e2', 0);
    rests.record('e3', 2_000, NOW_MS);
    limits.update('e4', 3, 0, NOW_MS);
    health.recordFailure('e5', true, NOW_MS);
    // The store comes back from a copy that still lists an upstream that left.
    replica.upstreams.evict('e6', NOW_MS - 1_000);
    const listed = [
      ...replica.upstreams.list(),
      createUpstream('e6', {service: 'llm'}),
    ];
    replica.upstreams.rebase(listed, NOW_MS);
    const {upstreams} = host.explain();
    const reasons = upstreams
      .map(({id, exclusion = '', restMs = 0}) => `${id} ${exclusion} ${restMs}`)
      .sort();
    expect(reasons).to.deep.equal([
      'e0  0',
      'e1 draining 0',
      'e2 leaving 0',
      'e3 resting 2000',
      'e4 over its limit 0',
      'e5 avoided as failing 0',
      'e6 gone 0',
      'e7  0',
    ]);
  });

  it('tells of a request that would be refused why and when to come again', () => {
    const host = new ExplainedHost(2);
    const refuse = (changes: object = {}): unknown[] => {
      const {refusal, choice} = host.explain({...changes});
      expect(choice).to.equal(undefined);
      return [refusal?.status, refusal?.kind, refusal?.retryAfterMs];
    };
    const {NOT_FOUND, UNAUTHENTICATED, PROMPT_TOO_LONG} = ErrorKind;
    expect(refuse({name: 'b'})).to.deep.equal([404, NOT_FOUND, undefined]);
    expect(refuse({key: 'x'})).to.deep.equal([401, UNAUTHENTICATED, undefined]);
    const long = refuse({promptTokens: '40000000'});
    expect(long).to.deep.equal([400, PROMPT_TOO_LONG, undefined]);
    const crash = refuse({parts: 'crashing:10,own:5'});
    expect(crash[1]).to.equal(ErrorKind.REQUEST_CRASHES_UPSTREAM);
    for (const id of ['e0', 'e1']) host.rests.record(id, 1_500, NOW_MS);
    expect(refuse()).to.deep.equal([503, ErrorKind.OVERLOADED, 1_500]);
    host.refusal = new Failure(ErrorKind.HOST_UNAVAILABLE, '', undefined, 50);
    expect(refuse()).to.deep.equal([503, ErrorKind.HOST_UNAVAILABLE, 50]);
  });

  it('answers before a configuration is known, and never shows a key', () => {
    const host = new ExplainedHost();
    expect(JSON.stringify(host.explain())).not.to.contain(KEY);
    Object.assign(host.context, {replica: new SiteReplica()});
    const {refusal, inputs} = host.explain();
    expect(refusal?.retryAfterMs).to.equal(700);
    expect(inputs).to.deep.include({version: 0, peers: 0, placements: 0});
    expect(inputs).not.to.have.property('storeAgeMs');
  });

  it('refuses a wrong query with the parameter and what is allowed', () => {
    const host = new ExplainedHost();
    const wrong: [Record<string, unknown>, RegExp][] = [
      [{name: ''}, /^name is missing/],
      [{path: 'ask'}, /^path is "ask", allowed is a path that begins with/],
      [{promptTokens: '-1'}, /^promptTokens is "-1", allowed is a whole/],
      [{timeLimitMs: 'soon'}, /^timeLimitMs is "soon"/],
      [{key: ['a', 'b']}, /^key is given more than once/],
      [{tokens: '5'}, /^no parameter "tokens", allowed: name, path/],
      [{service: 'app'}, /^service "app" is not of route ask, allowed: llm/],
    ];
    for (const [changes, message] of wrong) {
      expect(() => host.explain(changes)).to.throw(Failure, message);
    }
  });

  // Guards against a reason that a later part adds and an explanation does not know.
  it('names evacuations, home regions, cold rates and slow start as reasons', () => {
    const host = new ExplainedHost(5);
    const {replica, pacing, coldRates} = host;
    const write = (id: string, changes: object): void => {
      const entry = createUpstream(id, {service: 'llm', ...changes});
      replica.upstreams.write(entry, NOW_MS);
    };
    write('e1', {failureDomain: 'empty'});
    write('e2', {failureDomain: 'far'});
    write('e3', {coldRemainingMs: 60_000});
    replica.evacuations.add('empty', {epoch: 1, revision: 1}, Infinity, NOW_MS);
    const ask = replica.rules!.routes.find('a.example', '/ask/1')!;
    Object.assign(ask, {homeRegions: ['north']});
    coldRates.applySite();
    pacing.pace.start('e4', 2, NOW_MS);
    host.hold('e4');
    const reasons = host
      .explain()
      .upstreams.map(({id, exclusion = ''}) => `${id} ${exclusion}`);
    coldRates.stop();
    expect(reasons.sort()).to.deep.equal([
      'e0 ',
      'e1 evacuated',
      'e2 not in a home region',
      'e3 cold, over the rate',
      'e4 slow start',
    ]);
  });

  it('says that the load of engines is not known yet, and logs no choice', () => {
    const host = new ExplainedHost(2, NOW_MS - 10);
    const {upstreams, refusal} = host.explain({promptTokens: '250000'});
    const reasons = upstreams.map(({exclusion}) => exclusion);
    expect(reasons).to.deep.equal(['load not known yet', 'load not known yet']);
    expect(refusal?.waitMs).to.be.above(0);
    expect([host.counts, host.logged]).to.deep.equal([0, []]);
  });

  // Failure: each explanation defers the callers that are refused after it.
  it('leaves turns at cold upstreams to requests, and counts and logs nothing', async () => {
    const [asked, other] = [new ExplainedHost(0), new ExplainedHost(0)];
    for (const host of [asked, other]) {
      const cold = {service: 'llm', coldRemainingMs: 60_000};
      host.replica.upstreams.write(createUpstream('e0', cold), NOW_MS);
      host.coldRates.applySite();
      host.logged.length = 0;
    }
    const explained = [0, 0].map(() => asked.explain().refusal?.waitMs);
    expect(explained[0]).to.be.above(0).and.equal(explained[1]);
    expect(await asked.registry.metrics()).not.to.match(/refusals_total\{/);
    expect([asked.counts, asked.logged]).to.deep.equal([0, []]);
    const [first, second] = [asked, other].map(({coldRates, replica}) => {
      coldRates.stop();
      const engines = replica.upstreams.list().slice(-1);
      return [0, 0].map(() => coldRates.planReturnMs(engines, NOW_MS));
    });
    expect(first).to.deep.equal(second);
  });

  // Failure: an explanation begins a probation, which then ends before requests came.
  it('shows slow start as the next request finds it, and begins and ends none', () => {
    const host = new ExplainedHost(2);
    const {pacing, health, logged} = host;
    health.recordFailure('e0', true, NOW_MS);
    pacing.pace.start('e1', 11, NOW_MS);
    pacing.pace.takeChanges();
    host.nowMs += 60_000;
    const windows = (): unknown[] =>
      host
        .explain()
        .upstreams.map(({id, paceWindow}) => `${id} ${paceWindow}`)
        .sort();
    expect(windows()).to.deep.equal(['e0 5', 'e1 undefined']);
    expect(pacing.pace.isOnProbation('e0')).to.equal(false);
    expect(pacing.pace.isOnProbation('e1')).to.equal(true);
    expect(logged).to.deep.equal([]);
    pacing.advance(host.nowMs);
    expect(windows()).to.deep.equal(['e0 5', 'e1 undefined']);
    expect(logged).to.deep.equal(['upstream_paced', 'upstream_pace_ended']);
  });
});
