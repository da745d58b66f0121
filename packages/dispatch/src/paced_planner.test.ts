import type {Service} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import fc from 'fast-check';
import {PaceReason} from './pace_reason.js';
import {PassModel} from './pass_model.js';
import {PlacementRegistry} from './placement_registry.js';
import {ENGINE_PROFILE} from './testing/engine_profile.js';
import {UpstreamChooser} from './upstream_chooser.js';
import {UpstreamHealth} from './upstream_health.js';
import {UpstreamPace} from './upstream_pace.js';

const SERVICE: Service = {name: 's', engine: ENGINE_PROFILE};
const DEMAND = {
  promptTokens: 5_000,
  answerTokens: 1_300,
  objectiveMs: 300,
  callerTimeoutMs: 2_000,
};

interface Site {
  readonly chooser: UpstreamChooser;
  readonly pace: UpstreamPace;
}

/** A site on whose engines prompts of the given sizes wait. */
function makeSite(prompts: Readonly<Record<string, number[]>>): Site {
  const placements = new PlacementRegistry();
  for (const [upstream, sizes] of Object.entries(prompts)) {
    for (const [at, tokens] of sizes.entries()) {
      const millionPairs = PassModel.countMillionPairs(tokens);
      const load = {tokens, millionPairs, heldTokens: tokens, passMs: 0};
      placements.add(
        {
          ...DEMAND,
          id: `${upstream}/${at}`,
          host: 'h',
          upstream,
          pauseObjectiveMs: 250,
          parts: [{upstream, ...load}],
        },
        0,
      );
    }
  }
  const pace = new UpstreamPace();
  const health = new UpstreamHealth();
  return {
    chooser: new UpstreamChooser('h', 'd', placements, health, pace),
    pace,
  };
}

function choose({chooser}: Site, ids: string[], demand = DEMAND) {
  const engines = ids.map(id => createUpstream(id));
  return chooser.chooseEngines(engines, SERVICE, demand, 0);
}

describe('PacedPlanner', () => {
  it('plans as without slow start while no engine is on probation', () => {
    const site = makeSite({warm: [9_000, 9_000], other: [20_000]});
    const before = choose(site, ['warm', 'other']);
    site.pace.planStart('other', 11, 1, PaceReason.WARMED);
    expect(choose(site, ['warm', 'other'])).to.deep.equal(before);
  });

  // At the assumed slowdown it would get nothing until the other is far behind.
  it('leaves no engine idle that has started while others are behind', () => {
    const site = makeSite({warm: [9_000]});
    site.pace.start('new', 11, 0);
    const choice = choose(site, ['warm', 'new']);
    expect('upstream' in choice && choice.upstream.id).to.equal('new');
  });

  it('refuses for a while, and not for good, what an engine may not hold yet', () => {
    const site = makeSite({new: [5_000, 5_000, 5_000, 5_000, 5_000]});
    expect(choose(site, ['new'])).to.have.property('upstream');
    site.pace.start('new', 11, 0);
    const choice = choose(site, ['new']);
    expect(choice).to.include({isPaced: true, waitMs: 10_000});
  });

  // At the assumed slowdown the prompt would outlast its caller's patience.
  it('refuses no request at an engine that holds nothing where no other is left', () => {
    const site = makeSite({});
    site.pace.start('new', 11, 0);
    const demand = {...DEMAND, promptTokens: 100_000};
    expect(choose(site, ['new'], demand)).to.have.property('upstream');
  });

  it('refuses plain calls for a while beyond the window', () => {
    const site = makeSite({new: [1, 1, 1]});
    const call = (slots: number) =>
      site.chooser.chooseServiceUpstream(
        [createUpstream('new', {slots})],
        0,
        0,
      );
    site.pace.start('new', 6, 0);
    expect(call(6)).to.include({isPaced: true});
    site.pace.start('new', 8, 0);
    expect(call(8)).to.have.property('upstream');
  });

  // Load pattern: an engine that is four times slower than stated joins under load.
  it('lets no request wait longer at a slow engine by more than its objective', () => {
    const sizes = fc.array(fc.integer({min: 200, max: 60_000}), {maxLength: 4});
    const property = fc.property(
      sizes,
      sizes,
      fc.integer({min: 500, max: 150_000}),
      fc.integer({min: 500, max: 4_000}),
      fc.boolean(),
      (atWarm, atNew, promptTokens, objectiveMs, isAlone) => {
        const demand = {
          ...DEMAND,
          promptTokens,
          objectiveMs,
          callerTimeoutMs: 3 * objectiveMs,
        };
        const site = makeSite({warm: atWarm, new: [300, ...atNew]});
        site.pace.start('new', 11, 0);
        const choice = choose(
          site,
          isAlone ? ['new'] : ['warm', 'new'],
          demand,
        );
        if (!('upstream' in choice)) return;
        // The parts of a split prompt are shorter than the prompt that is judged.
        const isSplit = choice.helpers.length > 0;
        if (isSplit || choice.upstream.id !== 'new') return;
        const slowMs = choice.plan?.expectedMs ?? 0;
        // What the engine holds and the prompt itself take four times as long.
        expect(slowMs * (1 - 1 / 4)).to.be.at.most(objectiveMs);
      },
    );
    fc.assert(property, {seed: 1, numRuns: 500});
  });
});
