import {expect} from 'chai';
import {
  PlacementRegistry,
  UpstreamChooser,
  UpstreamHealth,
  UpstreamLimits,
  UpstreamRests,
} from '@parsleywood/dispatch';
import {ErrorKind, Failure} from '@parsleywood/errors';
import {
  DEFAULT_CALLER_LIMITS,
  RequestKind,
  SiteReplica,
  UpstreamStage,
  type Service,
} from '@parsleywood/forwarding';
import {createRoute, createUpstream} from '@parsleywood/forwarding/testing';
import type {Explanation} from '@parsleywood/schema/explanation';
import {AttemptPlacer} from '../attempts/attempt_placer.js';
import {DEFAULT_HEADER_NAMES} from '../default_header_names.js';
import type {GatewayContext} from '../gateway_context.js';
import {readExplainQuery} from './read_explain_query.js';
import {RequestExplainer} from './request_explainer.js';

const NOW_MS = 10_000;
const KEY = 'key-mill';
const LLM: Service = {
  name: 'llm',
  engine: {
    slots: 11,
    memoryTokens: 405_000,
    stepsPerPass: 34,
    stepMs: 1.31,
    stepMsPerWriter: 0.01,
    stepMsPerThousandTokens: 0.002,
    readTokensPerMs: 154,
    readMsPerMillionPairs: 0.162,
    chunkTokens: 2_048,
    meanAnswerTokens: 1_292,
  },
};
const SHORT = {
  name: 'A.example:80',
  path: '/ask/1',
  key: KEY,
  promptTokens: '900',
};

/** One host whose parts fail the test if an explanation sends or draws. */
class ExplainedHost {
  readonly replica = new SiteReplica();
  readonly placements = new PlacementRegistry();
  readonly health = new UpstreamHealth();
  readonly limits = new UpstreamLimits(() => 0);
  readonly rests = new UpstreamRests(() => 0.5);
  readonly published: string[] = [];
  draws = 0;
  refusal: Failure | undefined;
  readonly context = {
    clock: {nowMs: () => NOW_MS, wallMs: () => 0},
    headerNames: DEFAULT_HEADER_NAMES,
    replica: this.replica,
    placements: this.placements,
    health: this.health,
    limits: this.limits,
    rests: this.rests,
    chooser: new UpstreamChooser('h', 'd', this.placements, this.health),
    publisher: {publishStart: ({id}: {id: string}) => this.published.push(id)},
    suspects: {
      findBlockedParts: ({parts}: {parts: string[]}) =>
        parts.filter(part => part === 'crashing'),
    },
    planStartRetryMs: (random?: number) => 700 + (random ?? NaN),
    countHosts: () => 2,
    draw: () => ++this.draws && 0,
  } as unknown as GatewayContext;
  private readonly explainer = new RequestExplainer(
    'h',
    this.context,
    {findRefusal: () => this.refusal},
    {getStoreAgeMs: () => Infinity},
    {listSightings: () => []},
  );

  constructor(engines = 8) {
    const ids = Array.from({length: engines}, (_, index) => `e${index}`);
    const upstreams = ids.map(id => createUpstream(id, {service: 'llm'}));
    const position = {epoch: 1, revision: 1};
    const app = createUpstream('a0', {service: 'app', slots: 2});
    const configuration = {
      version: 1,
      limits: DEFAULT_CALLER_LIMITS,
      services: [LLM, {name: 'app'}],
      accounts: [{name: 'mill', keys: [KEY]}],
      routes: [
        createRoute({name: 'call', targets: [{service: 'app', weight: 1}]}),
        createRoute({
          name: 'ask',
          prefix: '/ask/',
          kind: RequestKind.STREAM,
          targets: [{service: 'llm', weight: 1}],
          timeoutMs: 10_000,
          latencyObjectiveMs: 900,
          pauseObjectiveMs: 250,
        }),
      ],
    };
    const site = {...position, upstreams: [...upstreams, app], configuration};
    this.replica.applySnapshot(site, 0, false);
  }

  explain(changes: Record<string, unknown> = {}): Explanation {
    return this.explainer.explain({...SHORT, ...changes});
  }

  /** Places the same request, as its session would. */
  place(changes: Record<string, string> = {}): AttemptPlacer {
    const query = {...SHORT, ...changes};
    const {metadata} = readExplainQuery(query, DEFAULT_HEADER_NAMES);
    const rules = this.replica.rules!;
    const route = rules.routes.find(metadata.host, metadata.target)!;
    const received = {metadata, headers: [], receivedAtMs: NOW_MS};
    const placer = new AttemptPlacer(
      this.context,
      {rules, route},
      {...received, body: Buffer.alloc(0)},
      route.targets[0]!.service,
      NOW_MS + route.timeoutMs!,
    );
    placer.place(0, '');
    return placer;
  }
}

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
});
