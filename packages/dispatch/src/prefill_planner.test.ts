import {expect} from 'chai';
import fc from 'fast-check';
import type {EngineForecast} from './engine_forecast.js';
import {PassModel} from './pass_model.js';
import type {PromptDemand} from './prompt_demand.js';
import type {ReadPlan} from './read_plan.js';
import {ReadPlanner} from './prefill_planner.js';
import type {Shortage} from './shortage.js';
import {ENGINE_PROFILE} from './testing/engine_profile.js';
import {idleEngine} from './testing/describe_idle_engine.js';
import {writingEngine} from './testing/describe_decoding_engine.js';

const SHORT: PromptDemand = {
  promptTokens: 5_000,
  answerTokens: 1_300,
  objectiveMs: 300,
  patienceMs: 2_000,
};
const LONG: PromptDemand = {
  promptTokens: 182_000,
  answerTokens: 650,
  objectiveMs: 4_000,
  patienceMs: 15_000,
};

function idle(count: number): EngineForecast[] {
  return Array.from({length: count}, (_, at) => idleEngine(`idle${at}`));
}

function writing(count: number, writers: number): EngineForecast[] {
  return Array.from({length: count}, (_, at) =>
    writingEngine(`writing${at}`, writers),
  );
}

describe('ReadPlanner', () => {
  const planner = new ReadPlanner(new PassModel(ENGINE_PROFILE));

  function plan(demand: PromptDemand, engines: EngineForecast[]): ReadPlan {
    const result: ReadPlan | Shortage = planner.plan(demand, engines);
    if (!('parts' in result)) throw new Error('no plan');
    return result;
  }

  function readers(demand: PromptDemand, engines: EngineForecast[]): string[] {
    return plan(demand, engines).parts.map(({upstream}) => upstream);
  }

  // Load pattern: long prompts arrive while short answers are being written.
  it('does not let a long prompt pause short answers when engines are idle', () => {
    const engines = [...writing(7, 5), ...idle(7)];
    expect(readers(LONG, engines).every(id => id.startsWith('idle'))).to.equal(
      true,
    );
  });

  // Load pattern: 64 hosts, of which several place before they hear of each other.
  it('lets hosts that know the same choose different engines', () => {
    const engines = writing(8, 2).map((engine, at) => ({
      ...engine,
      backlogMs: at === 5 ? 0 : 20,
    }));
    const chosen = engines.map((_engine, at) => {
      const own = [...engines.slice(at), ...engines.slice(0, at)];
      return readers(SHORT, own)[0];
    });
    expect(new Set(chosen).size).to.be.at.least(5);
  });

  it('leaves its own order of engines for one that is far less behind', () => {
    const engines = writing(4, 2).map((engine, at) => ({
      ...engine,
      backlogMs: at === 3 ? 0 : 400,
    }));
    expect(readers(SHORT, engines)).to.deep.equal(['writing3']);
  });

  it('reads a long prompt within its objective on several engines', () => {
    const {expectedMs, parts} = plan(LONG, idle(7));
    expect(parts.length).to.be.greaterThan(1);
    expect(expectedMs).to.be.below(LONG.objectiveMs * 0.8);
  });

  // Load pattern: short questions arrive while long prompts are being read.
  it('sends a short prompt past engines that read long ones', () => {
    const busy = idle(7).map(one => ({...one, backlogMs: 900}));
    const engines = [...busy, ...writing(2, 8)];
    expect(readers(SHORT, engines)[0]).to.match(/^writing/);
  });

  it('keeps idle engines for long prompts while others have room', () => {
    const engines = [...idle(10), ...writing(2, 6)];
    expect(readers(SHORT, engines)).to.have.length(1);
    expect(readers(SHORT, engines)[0]).to.match(/^writing/);
  });

  it('takes an idle engine when those that write have no slot left', () => {
    const engines = [...writing(3, 11), ...idle(1)];
    expect(readers(SHORT, engines)).to.deep.equal(['idle0']);
  });

  it('counts what waits for the same pass as part of the pause', () => {
    const full = {...writingEngine('full', 5), nextPassReadMs: 180};
    const free = {...writingEngine('free', 5), backlogMs: 60};
    expect(readers(SHORT, [full, free])[0]).to.equal('free');
  });

  it('does not count a pause that came already', () => {
    const paused = writingEngine('paused', 5, Infinity);
    const whole = writingEngine('whole', 5);
    const digest = {...LONG, promptTokens: 60_000, objectiveMs: 1_500};
    expect(readers(digest, [whole, paused])[0]).to.equal('paused');
  });

  it('spreads the memory of a prompt that no engine holds', () => {
    const demand = {...LONG, promptTokens: 900_000, patienceMs: 60_000};
    const {parts} = plan(demand, idle(14));
    const held = parts.reduce((sum, {heldTokens}) => sum + heldTokens, 0);
    expect(held).to.be.at.least(demand.promptTokens);
    for (const {heldTokens} of parts) {
      expect(heldTokens).to.be.at.most(ENGINE_PROFILE.memoryTokens);
    }
  });

  // Load pattern: more long prompts than the engines can read in time.
  it('refuses the longest prompts first when engines are far behind', () => {
    const behind = idle(14).map(one => ({...one, backlogMs: 2_200}));
    const huge = {...LONG, promptTokens: 600_000};
    expect(planner.plan(huge, behind)).to.not.have.property('parts');
    expect(planner.plan(LONG, behind)).to.have.property('parts');
  });

  it('refuses at once what cannot be read before the caller leaves', () => {
    const behind = idle(3).map(one => ({...one, backlogMs: 5_000}));
    const result = planner.plan(SHORT, behind);
    expect(result).to.not.have.property('parts');
    expect((result as Shortage).waitMs).to.be.greaterThan(4_000);
  });

  it('plans whole prompts over distinct engines with room', () => {
    const engine = fc.record({
      writers: fc.integer({min: 0, max: 11}),
      backlogMs: fc.integer({min: 0, max: 3_000}),
      memoryTaken: fc.integer({min: 0, max: 405_000}),
    });
    fc.assert(
      fc.property(
        fc.array(engine, {minLength: 1, maxLength: 16}),
        fc.integer({min: 100, max: 900_000}),
        (given, promptTokens) => {
          const engines = given.map(
            ({writers, backlogMs, memoryTaken}, at) => ({
              ...writingEngine(`e${at}`, writers),
              backlogMs,
              memoryTaken,
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
          expect(first?.slotsTaken).to.be.below(ENGINE_PROFILE.slots);
          for (const {upstream, heldTokens} of parts) {
            const free =
              ENGINE_PROFILE.memoryTokens -
              (engines.find(one => one.upstream === upstream)?.memoryTaken ??
                0);
            expect(heldTokens).to.be.at.most(free);
          }
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });
});
