import type {LengthClassSettings} from '@parsleywood/schema/settings';
import {expect} from 'chai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {ChoiceKind} from './choice_kind.js';
import {ChoiceReason} from './choice_reason.js';
import {LaneRouter} from './lane_router.js';
import {LeastInFlightRouter} from './least_in_flight_router.js';
import {RoundRobinRouter} from './round_robin_router.js';
import type {RoutedRequest} from './routed_request.js';
import type {Router} from './router.js';
import {RouterEventKind} from './router_event_kind.js';
import {FleetSimulation} from './fleet_simulation.test.js';

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

function lanes(host: number): LaneRouter {
  return new LaneRouter({
    host: `host-${host}`,
    lengthClasses: CLASSES,
    random: xoroshiro128plus(host + 1),
  });
}

function withEngines<R extends Router>(router: R, count: number): R {
  const upstreams = Array.from({length: count}, (_, index) => ({
    name: `e${index}`,
    model: 'm',
    memoryTokens: 1_000_000,
    leaving: false,
  }));
  router.observe({kind: RouterEventKind.UPSTREAMS, upstreams}, 0);
  return router;
}

function ask(changes: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    id: 'r',
    account: 'x',
    model: 'm',
    promptTokens: 2000,
    answerTokens: 100,
    prefixes: [],
    arrivedMs: 0,
    deadlineMs: 600_000,
    avoid: [],
    ...changes,
  };
}

function start(
  router: Router,
  attempt: string,
  upstream: string,
  request: RoutedRequest,
  nowMs: number,
): void {
  const kind = RouterEventKind.ATTEMPT_STARTED;
  router.observe({kind, attempt, upstream, request, cachedTokens: 0}, nowMs);
}

function report(
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

/** Name of the engine chosen, or the kind where there is none. */
function chosen(router: Router, request = ask(), nowMs = 0): string {
  const choice = router.choose(request, nowMs);
  return choice.kind === ChoiceKind.UPSTREAM ? choice.upstream : choice.kind;
}

function run(create: (host: number) => Router, streams: (typeof SHORT)[]) {
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

function slowdown(create: (host: number) => Router): number {
  const alone = run(create, [SHORT]);
  const mixed = run(create, [SHORT, LONG, GIANT]);
  return mixed.percentile(0.95, 0, 8000) / alone.percentile(0.95, 0, 8000);
}

function giantTokens(fleet: FleetSimulation): number {
  const giants = fleet.times.filter(({tokens}) => tokens >= 200_000);
  return giants.reduce((sum, {tokens}) => sum + tokens, 0);
}

describe('LaneRouter', () => {
  it('keeps short prompts within a tenth of their time without giants', () => {
    expect(slowdown(() => new RoundRobinRouter())).above(2);
    expect(slowdown(lanes)).most(1.1);
  });

  it('leaves giants nine tenths of the throughput of a plain rotation', () => {
    const streams = [SHORT, LONG, GIANT];
    const plain = run(() => new RoundRobinRouter(), streams);
    expect(giantTokens(run(lanes, streams))).least(0.9 * giantTokens(plain));
  });

  it('sends no short prompt behind a giant while another engine is free', () => {
    const router = withEngines(lanes(0), 3);
    start(router, 'a', 'e0', ask({promptTokens: 500_000}), 0);
    start(router, 'b', 'e1', ask({promptTokens: 500_000}), 0);
    const names = Array.from({length: 50}, () => chosen(router));
    expect(new Set(names)).deep.equal(new Set(['e2']));

    const plain = withEngines(new RoundRobinRouter(), 3);
    const plainNames = Array.from({length: 3}, () => chosen(plain));
    expect(plainNames).include('e0');
  });

  it('counts an attempt once, before and after the report that has it', () => {
    const router = withEngines(lanes(0), 2);
    start(router, 'a', 'e0', ask({promptTokens: 6000}), 1000);
    report(router, 'e1', 1, 1001, 8000);
    expect(chosen(router, ask(), 1001)).equal('e0');
    report(router, 'e0', 1, 1001, 6000);
    expect(chosen(router, ask(), 1001)).equal('e0');
    report(router, 'e0', 1, 1001, 60_000);
    expect(chosen(router, ask(), 1001), 'old sequence').equal('e0');
    const firstToken = {kind: RouterEventKind.FIRST_TOKEN as const};
    router.observe({...firstToken, attempt: 'a'}, 1002);
    report(router, 'e1', 2, 1002, 2000);
    expect(chosen(router, ask(), 1002), 'prefilled since').equal('e0');
  });

  it('spreads hosts that hold the same report', () => {
    const names = (create: (host: number) => Router) =>
      new Set(
        Array.from({length: 6}, (_, host) =>
          chosen(withEngines(create(host), 15)),
        ),
      );
    expect(names(() => new LeastInFlightRouter()).size).equal(1);
    expect(names(lanes).size).least(4);
  });

  it('leaves out avoided, leaving and failed engines at once', () => {
    const router = withEngines(lanes(0), 3);
    const kind = RouterEventKind.AVOID as const;
    router.observe({kind, upstream: 'e0', untilMs: 100}, 0);
    expect(chosen(router, ask({avoid: ['e1']}))).equal('e2');
    router.observe({kind, upstream: 'e2', untilMs: Infinity}, 0);
    expect(chosen(router, ask({avoid: ['e1']}))).equal(ChoiceKind.NONE);
    expect(chosen(router, ask({avoid: ['e1']}), 100)).equal('e0');
    router.observe({kind: RouterEventKind.UPSTREAMS, upstreams: []}, 101);
    expect(chosen(router, ask(), 101)).equal(ChoiceKind.NONE);
  });

  it('follows a cached prefix until the queue costs more than it saves', () => {
    const router = withEngines(lanes(0), 4);
    const request = ask({prefixes: [{hash: 'p', tokens: 1500}]});
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
    start(router, 'a', 'e3', ask({promptTokens: 3000}), 0);
    expect(chosen(router, request)).not.equal('e3');
    const kind = RouterEventKind.ATTEMPT_ENDED;
    router.observe({kind, attempt: 'a', succeeded: false}, 0);
    expect(chosen(router, request)).equal('e3');
    router.observe({...cache, sequence: 5, stored: []}, 1);
    expect(router.choose(request, 2), 'gap').include({cachedTokens: 1500});
    expect(router.choose(request, 60_000), 'past the gap').include({
      cachedTokens: 0,
    });
  });

  it('hands a prompt that exceeds one engine to the spread plan', () => {
    const router = withEngines(lanes(0), 3);
    const request = ask({promptTokens: 2_500_000});
    expect(chosen(router, request)).equal(ChoiceKind.SPREAD);
  });

  it('lets a giant out of its lane, and first, when its limit comes near', () => {
    const router = withEngines(lanes(0), 8);
    const request = ask({promptTokens: 400_000});
    const lane = new Set(
      Array.from({length: 40}, () => chosen(router, request)),
    );
    expect(lane.size).most(7);
    for (const upstream of lane) {
      start(router, upstream, upstream, ask({promptTokens: 900_000}), 0);
    }
    const aged = {...request, deadlineMs: 40_000};
    expect(router.choose(aged, 0)).include({reason: ChoiceReason.AGED});
    expect(lane.has(chosen(router, aged))).equal(false);
    expect(router.priority(request, 0)).equal(8);
    expect(router.priority(request, 550_000)).equal(0);
    const overnight = ask({deadlineMs: 8 * 3_600_000});
    expect(router.priority(overnight, 0)).equal(9);
    expect(router.priority(overnight, 8 * 3_600_000)).equal(0);
  });
});
