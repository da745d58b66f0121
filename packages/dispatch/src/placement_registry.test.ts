import {expect} from 'chai';
import {forecastEngine} from './forecast_engine.js';
import {PassModel} from './pass_model.js';
import type {Placement} from './placement.js';
import {PlacementRegistry} from './placement_registry.js';
import {ENGINE_PROFILE} from './testing/engine_profile.js';

const MODEL = new PassModel(ENGINE_PROFILE);

function createPlacement(
  id: string,
  overrides: Partial<Placement> = {},
): Placement {
  return {
    id,
    host: 'h1',
    upstream: 'a',
    promptTokens: 5_000,
    answerTokens: 1_000,
    objectiveMs: 300,
    pauseObjectiveMs: 250,
    parts: [describePart('a', 5_000)],
    ...overrides,
  };
}

function describePart(
  upstream: string,
  tokens: number,
  overrides: Partial<Placement['parts'][number]> = {},
): Placement['parts'][number] {
  const millionPairs = PassModel.countMillionPairs(tokens);
  return {
    upstream,
    tokens,
    millionPairs,
    heldTokens: tokens,
    passMs: 0,
    ...overrides,
  };
}

describe('PlacementRegistry', () => {
  let registry: PlacementRegistry;

  beforeEach(() => {
    registry = new PlacementRegistry();
  });

  const forecast = (
    upstream: string,
    nowMs: number,
  ): ReturnType<typeof forecastEngine> =>
    forecastEngine(
      upstream,
      registry.getUpstreamPlacements(upstream, nowMs),
      MODEL,
      1,
      nowMs,
    );

  it('counts a prompt as backlog until its first event, then as a decode request', () => {
    registry.add(createPlacement('1'), 0);
    expect(forecast('a', 0).backlogMs).to.be.closeTo(34.5, 1);
    expect(forecast('a', 10).backlogMs).to.be.closeTo(24.5, 1);
    registry.startDecode('1', 40);
    const {backlogMs, decodeRequests, usedMemoryTokens} = forecast('a', 40);
    expect([backlogMs, decodeRequests.length, usedMemoryTokens]).to.deep.equal([
      0, 1, 6_000,
    ]);
    registry.end('1');
    expect(forecast('a', 50).usedSlots).to.equal(0);
    expect(registry.size).to.equal(0);
  });

  it('counts helper backlog until prefill ends, and helper memory until the request ends', () => {
    const parts = [
      describePart('a', 9_000),
      describePart('b', 9_000, {heldTokens: 7_000}),
    ];
    registry.add(createPlacement('1', {parts}), 0);
    expect(forecast('b', 0).backlogMs).to.be.greaterThan(50);
    expect(forecast('b', 0).usedSlots).to.equal(0);
    registry.startDecode('1', 100);
    expect(forecast('b', 100).backlogMs).to.equal(0);
    expect(forecast('b', 100).usedMemoryTokens).to.equal(7_000);
    registry.end('1');
    expect(forecast('b', 100).usedMemoryTokens).to.equal(0);
  });

  it('marks answers that have already missed their pause objective', () => {
    registry.add(createPlacement('1'), 0);
    registry.startDecode('1', 40);
    registry.add(
      createPlacement('2', {
        parts: [describePart('a', 60_000, {passMs: 700})],
      }),
      50,
    );
    expect(forecast('a', 50).decodeRequests[0]?.pauseObjectiveMs).to.equal(
      Infinity,
    );
  });

  it('drops placements of a departed host and those past the maximum age', () => {
    registry.add(createPlacement('1'), 0);
    registry.add(createPlacement('2', {host: 'h2'}), 0);
    registry.dropHost('h1');
    expect(registry.size).to.equal(1);
    expect(forecast('a', 30_000).usedSlots).to.equal(0);
  });

  it('accepts out-of-order and duplicate updates', () => {
    registry.startDecode('1', 0);
    registry.end('1');
    registry.add(createPlacement('1'), 0);
    registry.add(createPlacement('1'), 0);
    registry.startDecode('1', 1);
    registry.startDecode('1', 2);
    expect(forecast('a', 2).usedSlots).to.equal(1);
    registry.end('1');
    registry.end('1');
    expect(registry.size).to.equal(0);
  });

  it('isolates a suspect until another one is placed on one of its engines', () => {
    const suspect = (id: string, upstream: string): void => {
      const parts = [describePart(upstream, 5_000)];
      registry.add(createPlacement(id, {upstream, parts, suspect: id}), 0);
    };
    registry.add(createPlacement('sound'), 0);
    suspect('one', 'a');
    suspect('two', 'b');
    expect(registry.hasSuspect('a', 'one', 0)).to.equal(false);
    expect(registry.hasSuspect('a', 'two', 0)).to.equal(true);
    expect(registry.isIsolated('one')).to.equal(true);
    suspect('three', 'a');
    registry.end('three');
    expect(['one', 'two'].map(id => registry.isIsolated(id))).to.eql([
      false,
      true,
    ]);
  });
});
