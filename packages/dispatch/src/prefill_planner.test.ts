import {expect} from 'chai';
import fc from 'fast-check';
import type {EngineForecast} from './engine_forecast.js';
import {PassModel} from './pass_model.js';
import type {PromptDemand} from './prompt_demand.js';
import type {PrefillPlan} from './prefill_plan.js';
import {PrefillPlanner} from './prefill_planner.js';
import type {CapacityShortage} from './capacity_shortage.js';
import {ENGINE_PROFILE} from './testing/engine_profile.js';
import {createIdleEngine} from './testing/create_idle_engine.js';
import {createDecodingEngine} from './testing/create_decoding_engine.js';

const SHORT: PromptDemand = {
  promptTokens: 5_000,
  answerTokens: 1_300,
  objectiveMs: 300,
  callerTimeoutMs: 2_000,
};
const LONG: PromptDemand = {
  promptTokens: 182_000,
  answerTokens: 650,
  objectiveMs: 4_000,
  callerTimeoutMs: 15_000,
};

function createIdleEngines(count: number): EngineForecast[] {
  return Array.from({length: count}, (_, index) =>
    createIdleEngine(`idle${index}`),
  );
}

function createDecodingEngines(
  engines: number,
  requests: number,
): EngineForecast[] {
  return Array.from({length: engines}, (_, index) =>
    createDecodingEngine(`writing${index}`, requests),
  );
}

describe('PrefillPlanner', () => {
  const planner = new PrefillPlanner(new PassModel(ENGINE_PROFILE));

  function plan(demand: PromptDemand, engines: EngineForecast[]): PrefillPlan {
    const result: PrefillPlan | CapacityShortage = planner.plan(
      demand,
      engines,
    );
    if (!('parts' in result)) throw new Error('planner refused the prompt');
    return result;
  }

  function chooseEngines(
    demand: PromptDemand,
    engines: EngineForecast[],
  ): string[] {
    return plan(demand, engines).parts.map(({upstream}) => upstream);
  }

  // Load pattern: long prompts arrive while short answers are decoded.
  it('prefills a long prompt on idle engines instead of pausing short answers', () => {
    const engines = [...createDecodingEngines(7, 5), ...createIdleEngines(7)];
    expect(
      chooseEngines(LONG, engines).every(id => id.startsWith('idle')),
    ).to.equal(true);
  });

  // Load pattern: 64 hosts, several of which place requests before they receive each
  // other's placement updates.
  it('spreads hosts with the same view over different engines', () => {
    const engines = createDecodingEngines(8, 2).map((engine, index) => ({
      ...engine,
      backlogMs: index === 5 ? 0 : 20,
    }));
    const chosen = engines.map((_engine, index) => {
      const ordered = [...engines.slice(index), ...engines.slice(0, index)];
      return chooseEngines(SHORT, ordered)[0];
    });
    expect(new Set(chosen).size).to.be.at.least(5);
  });

  it('overrides its order of preference for an engine with a much shorter backlog', () => {
    const engines = createDecodingEngines(4, 2).map((engine, index) => ({
      ...engine,
      backlogMs: index === 3 ? 0 : 400,
    }));
    expect(chooseEngines(SHORT, engines)).to.deep.equal(['writing3']);
  });

  it('splits a long prompt over several engines to meet its objective', () => {
    const {expectedMs, parts} = plan(LONG, createIdleEngines(7));
    expect(parts.length).to.be.greaterThan(1);
    expect(expectedMs).to.be.below(LONG.objectiveMs * 0.8);
  });

  // Load pattern: short prompts arrive while long ones are in prefill.
  it('avoids engines that prefill long prompts for a short one', () => {
    const busy = createIdleEngines(7).map(one => ({...one, backlogMs: 900}));
    const engines = [...busy, ...createDecodingEngines(2, 8)];
    expect(chooseEngines(SHORT, engines)[0]).to.match(/^writing/);
  });

  it('keeps idle engines free for long prompts while others have capacity', () => {
    const engines = [...createIdleEngines(10), ...createDecodingEngines(2, 6)];
    expect(chooseEngines(SHORT, engines)).to.have.length(1);
    expect(chooseEngines(SHORT, engines)[0]).to.match(/^writing/);
  });

  it('chooses an idle engine when decoding engines have no free slot', () => {
    const engines = [...createDecodingEngines(3, 11), ...createIdleEngines(1)];
    expect(chooseEngines(SHORT, engines)).to.deep.equal(['idle0']);
  });

  it('includes pending prefill of the same pass in the pause estimate', () => {
    const busyNextPass = {
      ...createDecodingEngine('busyNextPass', 5),
      nextPassPrefillMs: 180,
    };
    const freeNextPass = {
      ...createDecodingEngine('freeNextPass', 5),
      backlogMs: 60,
    };
    expect(chooseEngines(SHORT, [busyNextPass, freeNextPass])[0]).to.equal(
      'freeNextPass',
    );
  });

  it('assigns no cost to a further pause after the objective was missed', () => {
    const paused = createDecodingEngine('paused', 5, Infinity);
    const unpaused = createDecodingEngine('unpaused', 5);
    const demand = {...LONG, promptTokens: 60_000, objectiveMs: 1_500};
    expect(chooseEngines(demand, [unpaused, paused])[0]).to.equal('paused');
  });

  it('splits the memory of a prompt that no single engine can hold', () => {
    const demand = {...LONG, promptTokens: 900_000, callerTimeoutMs: 60_000};
    const {parts} = plan(demand, createIdleEngines(14));
    const held = parts.reduce((sum, {heldTokens}) => sum + heldTokens, 0);
    expect(held).to.be.at.least(demand.promptTokens);
    for (const {heldTokens} of parts) {
      expect(heldTokens).to.be.at.most(ENGINE_PROFILE.memoryTokens);
    }
  });

  // Load pattern: more long prompts than the engines can prefill in time.
  it('refuses the longest prompts first when the backlog is long', () => {
    const backlogged = createIdleEngines(14).map(one => ({
      ...one,
      backlogMs: 2_200,
    }));
    const huge = {...LONG, promptTokens: 600_000};
    expect(planner.plan(huge, backlogged)).to.not.have.property('parts');
    expect(planner.plan(LONG, backlogged)).to.have.property('parts');
  });

  it('refuses a prompt at once that cannot be prefilled before the caller gives up', () => {
    const backlogged = createIdleEngines(3).map(one => ({
      ...one,
      backlogMs: 5_000,
    }));
    const result = planner.plan(SHORT, backlogged);
    expect(result).to.not.have.property('parts');
    expect((result as CapacityShortage).waitMs).to.be.greaterThan(4_000);
  });

  it('covers the whole prompt with distinct engines that have capacity', () => {
    const engine = fc.record({
      decoding: fc.integer({min: 0, max: 11}),
      backlogMs: fc.integer({min: 0, max: 3_000}),
      usedMemoryTokens: fc.integer({min: 0, max: 405_000}),
    });
    fc.assert(
      fc.property(
        fc.array(engine, {minLength: 1, maxLength: 16}),
        fc.integer({min: 100, max: 900_000}),
        (given, promptTokens) => {
          const engines = given.map(
            ({decoding, backlogMs, usedMemoryTokens}, index) => ({
              ...createDecodingEngine(`e${index}`, decoding),
              backlogMs,
              usedMemoryTokens,
            }),
          );
          const demand = {...LONG, promptTokens};
          const result = planner.plan(demand, engines);
          if (!('parts' in result)) return;
          const {parts} = result;
          const names = parts.map(({upstream}) => upstream);
          expect(new Set(names).size).to.equal(parts.length);
          const read = parts.reduce((sum, {tokens}) => sum + tokens, 0);
          const held = parts.reduce((sum, part) => sum + part.heldTokens, 0);
          expect(read).to.be.at.least(promptTokens);
          expect(held).to.be.at.least(promptTokens);
          const first = engines.find(one => one.upstream === names[0]);
          expect(first?.usedSlots).to.be.below(ENGINE_PROFILE.slots);
          for (const {upstream, heldTokens} of parts) {
            const free =
              ENGINE_PROFILE.memoryTokens -
              (engines.find(one => one.upstream === upstream)
                ?.usedMemoryTokens ?? 0);
            expect(heldTokens).to.be.at.most(free);
          }
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });
});
