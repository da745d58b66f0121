import {
  ColdRates,
  PlacementRegistry,
  StartView,
  UpstreamChooser,
  UpstreamHealth,
  UpstreamLimits,
  UpstreamRests,
} from '@parsleywood/dispatch';
import type {Failure} from '@parsleywood/errors';
import {
  DEFAULT_CALLER_LIMITS,
  HomeRegions,
  RequestKind,
  SiteReplica,
  type Service,
} from '@parsleywood/forwarding';
import {createRoute, createUpstream} from '@parsleywood/forwarding/testing';
import {PeerStage} from '@parsleywood/membership';
import {Registry} from 'prom-client';
import type {Explanation} from '@parsleywood/schema/explanation';
import {AttemptPlacer} from '../gateway/attempts/attempt_placer.js';
import {DEFAULT_HEADER_NAMES} from '../gateway/default_header_names.js';
import {readExplainQuery} from '../gateway/explain/read_explain_query.js';
import {RequestExplainer} from '../gateway/explain/request_explainer.js';
import type {GatewayContext} from '../gateway/gateway_context.js';
import {ColdMetrics} from '../gateway/upstreams/cold_metrics.js';
import {ColdRateMonitor} from '../gateway/upstreams/cold_rate_monitor.js';
import {UpstreamPacing} from '../gateway/upstreams/upstream_pacing.js';
import type {EventLog} from '../host/event_log.js';

const NOW_MS = 10_000;
const KEY = 'key-mill';
const LLM: Service = {
  name: 'llm',
  coldStart: {durationMs: 8_000, requestsPerSecond: 18},
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

/** One host that records what an explanation must not do: send, draw, count or log. */
export class ExplainedHost {
  readonly replica = new SiteReplica();
  readonly placements = new PlacementRegistry();
  readonly health = new UpstreamHealth();
  readonly limits = new UpstreamLimits(() => 0);
  readonly rests = new UpstreamRests(() => 0.5);
  readonly published: string[] = [];
  readonly logged: string[] = [];
  counts = 0;
  private readonly counter = {inc: () => this.counts++};
  draws = 0;
  nowMs = NOW_MS;
  refusal: Failure | undefined;
  readonly startView = new StartView(0, () => true);
  readonly clock = {nowMs: () => this.nowMs, wallMs: () => this.nowMs};
  readonly log = {
    info: (event: string) => this.logged.push(event),
    warn: (event: string) => this.logged.push(event),
  } as unknown as EventLog;
  readonly registry = new Registry();
  readonly coldRates = new ColdRateMonitor(
    'h:1',
    new ColdRates('h:1', [], {overage: 1.5, slack: 5}, 0),
    this.replica,
    this.clock,
    this.log,
    new ColdMetrics(this.registry),
    () => [],
    () => PeerStage.READY,
  );
  readonly pacing = new UpstreamPacing(this, {pacesNewUpstreams: true});
  readonly context = {
    clock: this.clock,
    log: this.log,
    metrics: {
      excludedRequests: this.counter,
      pacedRefusals: this.counter,
      choicesWithoutView: this.counter,
    },
    homeRegions: new HomeRegions({d: 'north', empty: 'north', far: 'south'}),
    startView: this.startView,
    coldRates: this.coldRates,
    pacing: this.pacing,
    headerNames: DEFAULT_HEADER_NAMES,
    replica: this.replica,
    placements: this.placements,
    health: this.health,
    limits: this.limits,
    rests: this.rests,
    chooser: new UpstreamChooser(
      'h',
      'd',
      this.placements,
      this.health,
      this.pacing.pace,
      this.startView,
    ),
    publisher: {publishStart: ({id}: {id: string}) => this.published.push(id)},
    suspects: {
      findBlock: ({parts}: {parts: string[]}) => {
        const traits = parts.filter(part => part === 'crashing');
        return traits.length > 0 ? {traits, isFinal: true} : undefined;
      },
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

  /** @param viewSinceMs When it began to hear of placements. */
  constructor(engines = 8, viewSinceMs = 0) {
    this.startView.begin(viewSinceMs);
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

  /** Lets an upstream hold a request of another host. */
  hold(upstream: string): void {
    const placement = {
      id: `held/${upstream}`,
      host: 'other',
      upstream,
      promptTokens: 900,
      answerTokens: 100,
      objectiveMs: 900,
      pauseObjectiveMs: 250,
      suspect: '',
      parts: [
        {upstream, tokens: 900, millionPairs: 0, heldTokens: 1_000, passMs: 50},
      ],
    };
    this.placements.add(placement, this.nowMs);
  }

  /** Places the same request, as its session would. */
  place(changes: Record<string, string> = {}): AttemptPlacer {
    const query = {...SHORT, ...changes};
    const {metadata} = readExplainQuery(query, DEFAULT_HEADER_NAMES);
    const {rules} = this.replica;
    const route = rules?.routes.find(metadata.host, metadata.target);
    if (rules === undefined || route === undefined) {
      throw new Error(`no route to ${metadata.target}`);
    }
    const received = {metadata, headers: [], receivedAtMs: this.nowMs};
    const placer = new AttemptPlacer(
      this.context,
      {rules, route},
      {...received, body: Buffer.alloc(0)},
      route.targets[0]?.service ?? '',
      this.nowMs + (route.timeoutMs ?? 0),
    );
    placer.place(0, '');
    return placer;
  }
}
