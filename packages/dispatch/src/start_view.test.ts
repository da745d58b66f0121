import {createUpstream} from '@parsleywood/forwarding/testing';
import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import {expect} from 'chai';
import fc from 'fast-check';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {PassModel} from './pass_model.js';
import type {Placement} from './placement.js';
import {PlacementRegistry} from './placement_registry.js';
import {StartView} from './start_view.js';
import {ENGINE_PROFILE} from './testing/engine_profile.js';
import {UpstreamChooser} from './upstream_chooser.js';
import {UpstreamHealth} from './upstream_health.js';

const SERVICE: Service = {name: 's', engine: ENGINE_PROFILE};
const SHORT = {
  promptTokens: 5_000,
  answerTokens: 1_300,
  objectiveMs: 300,
  callerTimeoutMs: 2_000,
};
const VERY_LARGE = {...SHORT, promptTokens: 200_000, callerTimeoutMs: 9_000};
const IDLE = {runningRequests: 0, waitingRequests: 0, usedMemoryTokens: 0};
const FULL = {
  runningRequests: ENGINE_PROFILE.slots,
  waitingRequests: 3,
  usedMemoryTokens: 300_000,
};
const WHOLE_MS = 3_000;
const STEP_MS = 50;
const MOST_READS = 8;
/** Hosts of a history that choose engines; a choice takes long to compute. */
const MOST_CHOOSING = 24;

/** A host that has just started, on virtual time. */
class StartedHost {
  readonly view: StartView;
  readonly placements = new PlacementRegistry();
  reads = 0;
  private readonly chooser: UpstreamChooser;

  constructor(
    readonly name: string,
    private readonly draw: () => number,
    isUsed = true,
  ) {
    this.view = new StartView(1_000, () => isUsed);
    this.chooser = new UpstreamChooser(
      name,
      'd',
      this.placements,
      new UpstreamHealth(),
      undefined,
      this.view,
    );
    this.view.begin(0);
  }

  /** Reads the reports that are due. */
  read(
    engines: readonly UpstreamEntry[],
    isBusy: (id: string) => boolean,
    nowMs: number,
  ): UpstreamEntry[] {
    const asked = this.view.chooseQuestions(engines, SERVICE, nowMs, this.draw);
    this.reads += asked.length;
    for (const {id} of asked) {
      const known = this.placements.getUpstreamPlacements(id, nowMs);
      this.view.recordReport(id, isBusy(id) ? FULL : IDLE, known, nowMs);
    }
    return asked;
  }

  choose(
    engines: readonly UpstreamEntry[],
    demand: typeof SHORT,
    nowMs: number,
  ): ReturnType<UpstreamChooser['chooseEngines']> {
    const candidates = this.chooser.listCandidates(engines, new Set(), nowMs);
    return this.chooser.chooseEngines(candidates, SERVICE, demand, nowMs);
  }
}

function createDraw(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function createEngines(count: number): UpstreamEntry[] {
  return Array.from({length: count}, (_none, at) => ({
    ...createUpstream(`engine-${at}`),
    slots: ENGINE_PROFILE.slots,
    bornMs: 1,
  }));
}

const histories = fc.record({
  hosts: fc.integer({min: 6, max: 300}),
  engines: fc.integer({min: 8, max: 60}),
  seed: fc.integer(),
});

/**
 * Lets hosts that start together place short prompts for two seconds while every
 * second engine is full. Returns the share that went to full engines.
 */
function measureBusyShare(isUsed: boolean): number {
  const engines = createEngines(40);
  const isBusy = (id: string): boolean => Number(id.slice(7)) % 2 === 0;
  const draw = createDraw(1);
  const hosts = Array.from(
    {length: 20},
    (_none, at) => new StartedHost(`host-${at}`, draw, isUsed),
  );
  let placed = 0;
  let busy = 0;
  for (let nowMs = 100; nowMs < 2_000; nowMs += STEP_MS) {
    const started: Placement[] = [];
    for (const host of hosts) {
      host.read(engines, isBusy, nowMs);
      if ((nowMs / STEP_MS) % 10 !== Number(host.name.slice(5)) % 10) continue;
      const choice = host.choose(engines, SHORT, nowMs);
      if (!('upstream' in choice) || choice.plan === undefined) continue;
      placed++;
      if (isBusy(choice.upstream.id)) busy++;
      started.push({
        ...SHORT,
        id: `${host.name}/${nowMs}`,
        host: host.name,
        upstream: choice.upstream.id,
        pauseObjectiveMs: 250,
        parts: choice.plan.parts,
      });
    }
    for (const {placements} of hosts) {
      for (const one of started) placements.add(one, nowMs);
    }
  }
  return busy / placed;
}

describe('StartView', () => {
  it('keeps very large prompts from engines of unknown load, and says when to return', () => {
    const property = fc.property(
      histories,
      fc.nat(WHOLE_MS - 1),
      fc.nat(7),
      ({engines: count, seed}, nowMs, young) => {
        const host = new StartedHost('h', createDraw(seed));
        const engines = createEngines(count).map((engine, at) => ({
          ...engine,
          bornMs: at < young ? 2_000 : 1,
        }));
        const refusal = host.choose(engines.slice(young), VERY_LARGE, nowMs);
        expect(refusal).to.have.property('waitMs').within(1, WHOLE_MS);
        const asked = host.read(engines, () => false, nowMs);
        const known = new Set([...asked, ...engines.slice(0, young)]);
        const choice = host.choose(engines, VERY_LARGE, nowMs);
        if (!('upstream' in choice)) throw new Error('no engine chosen');
        for (const one of [choice.upstream, ...choice.helpers]) {
          expect([...known].some(({id}) => id === one.id)).to.equal(true);
        }
      },
    );
    fc.assert(property, {seed: 1, numRuns: 500});
  });

  it('does not let hosts that start together ask or choose the same engines', () => {
    const property = fc.property(histories, ({hosts, engines: count, seed}) => {
      const engines = createEngines(count);
      const draw = createDraw(seed);
      const asked = new Map<string, number>();
      const chosen = new Map<string, number>();
      const increment = (counts: Map<string, number>, id: string): void => {
        counts.set(id, (counts.get(id) ?? 0) + 1);
      };
      for (let at = 0; at < hosts; at++) {
        const host = new StartedHost(`${seed} ${at}`, draw);
        for (const {id} of host.read(engines, () => false, 0)) {
          increment(asked, id);
        }
        if (at >= MOST_CHOOSING) continue;
        const choice = host.choose(engines, SHORT, 0);
        if ('upstream' in choice) increment(chosen, choice.upstream.id);
      }
      const askedMean = (4 * hosts) / count;
      const chosenMean = Math.min(hosts, MOST_CHOOSING) / count;
      expect(Math.max(...asked.values())).to.be.below(3 * askedMean + 10);
      expect(Math.max(...chosen.values())).to.be.below(3 * chosenMean + 5);
    });
    fc.assert(property, {seed: 1, numRuns: 500});
  });

  it('does not take full engines for idle ones after all hosts have lost power', () => {
    expect(measureBusyShare(true)).to.be.below(measureBusyShare(false) / 2);
  });

  it('asks few engines, twice at most, and none with a view or where it is not used', () => {
    const engines = createEngines(30);
    const askFor = (isUsed: boolean, peerMs: number): number => {
      const host = new StartedHost('h', createDraw(1), isUsed);
      host.view.recordPeerView(peerMs, 0);
      for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) {
        host.read(engines, () => true, nowMs);
      }
      return host.reads;
    };
    expect(askFor(true, 0)).to.equal(MOST_READS);
    expect(askFor(true, 4_000)).to.equal(0);
    expect(askFor(false, 0)).to.equal(0);
  });

  it('serves as ever where it is not used, and once placements were heard of', () => {
    const engines = createEngines(10);
    for (const [host, nowMs] of [
      [new StartedHost('h', createDraw(1), false), 0],
      [new StartedHost('h', createDraw(1)), WHOLE_MS],
    ] as const) {
      expect(host.choose(engines, VERY_LARGE, nowMs)).to.have.property('plan');
      expect(host.view.select(engines, SERVICE, 1, nowMs)).to.equal(engines);
    }
  });

  it('does not count a request twice that is known and reported', () => {
    const [engine] = createEngines(1);
    if (engine === undefined) return;
    const {id} = engine;
    const host = new StartedHost('h', createDraw(1));
    for (const [name, atMs] of [
      ['old', 0],
      ['new', 900],
    ] as const) {
      const part = {tokens: 1, millionPairs: 0, heldTokens: 1, passMs: 0};
      host.placements.add(
        {
          ...SHORT,
          id: name,
          host: '',
          upstream: id,
          pauseObjectiveMs: 250,
          parts: [{...part, upstream: id}],
        },
        atMs,
      );
    }
    const load = {...IDLE, runningRequests: 3, usedMemoryTokens: 30_000};
    const known = host.placements.getUpstreamPlacements(id, 1_000);
    host.view.recordReport(id, load, known, 1_000);
    const [forecast] = new UpstreamChooser(
      'h',
      'd',
      host.placements,
      new UpstreamHealth(),
      undefined,
      host.view,
    ).forecastEngines([engine], new PassModel(ENGINE_PROFILE), 1_000);
    // The report covers the older placement and two that are not known.
    expect(forecast?.usedSlots).to.equal(4);
  });
});
