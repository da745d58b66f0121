import type {LengthClassSettings} from '@parsleywood/schema/settings';
import {expect} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {ChoiceKind} from './choice_kind.js';
import {ChoiceReason} from './choice_reason.js';
import {FleetSimulation} from './fleet_simulation.test.js';
import {LaneRouter} from './lane_router.js';
import {LeastInFlightRouter} from './least_in_flight_router.js';
import {RoundRobinRouter} from './round_robin_router.js';
import type {RoutedRequest} from './routed_request.js';
import type {Router} from './router.js';
import {RouterEventKind} from './router_event_kind.js';

const CLASSES: [LengthClassSettings, ...LengthClassSettings[]] = [
  {
    name: 'short',
    upToTokens: 8000,
    timeLimitMs: 60_000,
    firstTokenTargetMs: 1000,
    priority: 2,
  },
  {
    name: 'long',
    upToTokens: 64_000,
    timeLimitMs: 300_000,
    firstTokenTargetMs: 10_000,
    priority: 5,
  },
  {
    name: 'giant',
    upToTokens: 1_000_000,
    timeLimitMs: 600_000,
    firstTokenTargetMs: 120_000,
    priority: 8,
  },
];
const SHORT = {perSecond: 20, fromTokens: 1000, toTokens: 8000};
const LONG = {perSecond: 1, fromTokens: 8001, toTokens: 64_000};
const GIANT = {perSecond: 0.2, fromTokens: 200_000, toTokens: 800_000};

function createLaneRouter(host: number): LaneRouter {
  return new LaneRouter({
    host: `host-${host}`,
    lengthClasses: CLASSES,
    random: xoroshiro128plus(host + 1),
  });
}

function addEngines<R extends Router>(router: R, count: number): R {
  const upstreams = Array.from({length: count}, (_, index) => ({
    name: `e${index}`,
    model: 'm',
    memoryTokens: 1_000_000,
    leaving: false,
  }));
  router.observe({kind: RouterEventKind.UPSTREAMS, upstreams}, 0);
  return router;
}

function createRequest(changes: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    id: 'r',
    account: 'x',
    model: 'm',
    promptTokens: 2000,
    answerTokens: 100,
    prefixes: [],
    arrivedMs: 0,
    deadlineMs: 600_000,
    excludedUpstreams: [],
    ...changes,
  };
}

function startAttempt(
  router: Router,
  attempt: string,
  upstream: string,
  request: RoutedRequest,
  nowMs: number,
): void {
  const kind = RouterEventKind.ATTEMPT_STARTED;
  router.observe({kind, attempt, upstream, request, cachedTokens: 0}, nowMs);
}

function reportLoad(
  router: Router,
  upstream: string,
  sequence: number,
  takenAtMs: number,
  queuedTokens: number,
): void {
  router.observe(
    {
      kind: RouterEventKind.LOAD_REPORT,
      upstream,
      incarnation: '1',
      sequence,
      takenAtMs,
      queuedTokens,
      decoding: 0,
      usedTokens: 0,
      longestPrefillTokens: queuedTokens,
    },
    takenAtMs,
  );
}

/**
 * Returns the name of the chosen engine, or the kind of the choice if there is
 * none.
 */
function chooseEngine(
  router: Router,
  request = createRequest(),
  nowMs = 0,
): string {
  const choice = router.choose(request, nowMs);
  return choice.kind === ChoiceKind.UPSTREAM ? choice.upstream : choice.kind;
}

function simulate(create: (host: number) => Router, streams: (typeof SHORT)[]) {
  const fleet = new FleetSimulation({
    routers: Array.from({length: 6}, (_, host) => create(host)),
    engineCount: 15,
    streams,
    untilMs: 300_000,
    seed: 1,
    limitMs: 600_000,
  });
  fleet.run();
  return fleet;
}

function measureSlowdown(create: (host: number) => Router): number {
  const alone = simulate(create, [SHORT]);
  const mixed = simulate(create, [SHORT, LONG, GIANT]);
  return mixed.percentile(0.95, 0, 8000) / alone.percentile(0.95, 0, 8000);
}

function sumGiantTokens(fleet: FleetSimulation): number {
  const giants = fleet.firstTokenTimes.filter(({tokens}) => tokens >= 200_000);
  return giants.reduce((sum, {tokens}) => sum + tokens, 0);
}

describe('LaneRouter', () => {
  it('keeps the p95 first-token time of short prompts within 10 % of that without longer prompts', () => {
    expect(measureSlowdown(() => new RoundRobinRouter())).above(2);
    expect(measureSlowdown(createLaneRouter)).most(1.1);
  });

  it('gives giant prompts at least 90 % of their throughput under round robin', () => {
    const streams = [SHORT, LONG, GIANT];
    const roundRobin = simulate(() => new RoundRobinRouter(), streams);
    expect(sumGiantTokens(simulate(createLaneRouter, streams))).least(
      0.9 * sumGiantTokens(roundRobin),
    );
  });

  it('sends no short prompt to an engine with a giant prompt while another engine is idle', () => {
    const router = addEngines(createLaneRouter(0), 3);
    startAttempt(router, 'a', 'e0', createRequest({promptTokens: 500_000}), 0);
    startAttempt(router, 'b', 'e1', createRequest({promptTokens: 500_000}), 0);
    const names = Array.from({length: 50}, () => chooseEngine(router));
    expect(new Set(names)).deep.equal(new Set(['e2']));

    const roundRobin = addEngines(new RoundRobinRouter(), 3);
    const roundRobinNames = Array.from({length: 3}, () =>
      chooseEngine(roundRobin),
    );
    expect(roundRobinNames).include('e0');
  });

  it('counts an attempt once, before and after a load report includes it', () => {
    const router = addEngines(createLaneRouter(0), 2);
    startAttempt(router, 'a', 'e0', createRequest({promptTokens: 6000}), 1000);
    reportLoad(router, 'e1', 1, 1001, 8000);
    expect(chooseEngine(router, createRequest(), 1001)).equal('e0');
    reportLoad(router, 'e0', 1, 1001, 6000);
    expect(chooseEngine(router, createRequest(), 1001)).equal('e0');
    reportLoad(router, 'e0', 1, 1001, 60_000);
    expect(
      chooseEngine(router, createRequest(), 1001),
      'outdated sequence number',
    ).equal('e0');
    const firstToken = {kind: RouterEventKind.FIRST_TOKEN as const};
    router.observe({...firstToken, attempt: 'a'}, 1002);
    reportLoad(router, 'e1', 2, 1002, 2000);
    expect(
      chooseEngine(router, createRequest(), 1002),
      'prefilled since the report',
    ).equal('e0');
  });

  it('makes hosts with the same view of the load choose different engines', () => {
    const names = (create: (host: number) => Router) =>
      new Set(
        Array.from({length: 6}, (_, host) =>
          chooseEngine(addEngines(create(host), 15)),
        ),
      );
    expect(names(() => new LeastInFlightRouter()).size).equal(1);
    expect(names(createLaneRouter).size).least(4);
  });

  it('excludes avoided, failed and removed engines immediately', () => {
    const router = addEngines(createLaneRouter(0), 3);
    const kind = RouterEventKind.AVOID as const;
    router.observe({kind, upstream: 'e0', untilMs: 100}, 0);
    expect(
      chooseEngine(router, createRequest({excludedUpstreams: ['e1']})),
    ).equal('e2');
    router.observe({kind, upstream: 'e2', untilMs: Infinity}, 0);
    expect(
      chooseEngine(router, createRequest({excludedUpstreams: ['e1']})),
    ).equal(ChoiceKind.NONE);
    expect(
      chooseEngine(router, createRequest({excludedUpstreams: ['e1']}), 100),
    ).equal('e0');
    router.observe({kind: RouterEventKind.UPSTREAMS, upstreams: []}, 101);
    expect(chooseEngine(router, createRequest(), 101)).equal(ChoiceKind.NONE);
  });

  it('prefers an engine with a cached prefix until its queue costs more than the cache saves', () => {
    const router = addEngines(createLaneRouter(0), 4);
    const request = createRequest({prefixes: [{hash: 'p', tokens: 1500}]});
    const cache = {
      kind: RouterEventKind.CACHE_EVENT as const,
      upstream: 'e3',
      incarnation: '1',
      removed: [],
      cleared: false,
    };
    router.observe({...cache, sequence: 1, stored: ['p']}, 0);
    expect(router.choose(request, 0)).include({
      upstream: 'e3',
      reason: ChoiceReason.PREFIX,
      cachedTokens: 1500,
    });
    startAttempt(router, 'a', 'e3', createRequest({promptTokens: 3000}), 0);
    expect(chooseEngine(router, request)).not.equal('e3');
    const kind = RouterEventKind.ATTEMPT_ENDED;
    router.observe({kind, attempt: 'a', succeeded: false}, 0);
    expect(chooseEngine(router, request)).equal('e3');
    router.observe({...cache, sequence: 5, stored: []}, 1);
    expect(router.choose(request, 2), 'gap').include({cachedTokens: 1500});
    expect(router.choose(request, 60_000), 'after the gap expiry').include({
      cachedTokens: 0,
    });
  });

  it('chooses a spread for a prompt that exceeds the memory of one engine', () => {
    const router = addEngines(createLaneRouter(0), 3);
    const request = createRequest({promptTokens: 2_500_000});
    expect(chooseEngine(router, request)).equal(ChoiceKind.SPREAD);
  });

  it('allows a giant prompt outside its lane, and raises its priority, near its deadline', () => {
    const router = addEngines(createLaneRouter(0), 8);
    const request = createRequest({promptTokens: 400_000});
    const lane = new Set(
      Array.from({length: 40}, () => chooseEngine(router, request)),
    );
    expect(lane.size).most(7);
    for (const upstream of lane) {
      startAttempt(
        router,
        upstream,
        upstream,
        createRequest({promptTokens: 900_000}),
        0,
      );
    }
    const aged = {...request, deadlineMs: 40_000};
    expect(router.choose(aged, 0)).include({reason: ChoiceReason.AGED});
    expect(lane.has(chooseEngine(router, aged))).equal(false);
    expect(router.priority(request, 0)).equal(8);
    expect(router.priority(request, 550_000)).equal(0);
    const batchRequest = createRequest({deadlineMs: 8 * 3_600_000});
    expect(router.priority(batchRequest, 0)).equal(9);
    expect(router.priority(batchRequest, 8 * 3_600_000)).equal(0);
  });
});
