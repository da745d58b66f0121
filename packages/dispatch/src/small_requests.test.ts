import {expect} from 'chai';
import fc from 'fast-check';
import {PassModel} from './pass_model.js';
import {PrefillPlanner} from './prefill_planner.js';
import type {PromptDemand} from './prompt_demand.js';
import {createDecodingEngine} from './testing/create_decoding_engine.js';
import {createIdleEngine} from './testing/create_idle_engine.js';
import {ENGINE_PROFILE} from './testing/engine_profile.js';

const {memoryTokens, slots} = ENGINE_PROFILE;
const SIZES = [1, 2, 3, 14, 100, 1_800];
/** Tokens of prompts and answers that idle engines refused. */
const SMALL = [
  [0, 0],
  [1, 0],
  [1, 1],
  [100, 20],
  [500, 20],
] as const;

describe('PrefillPlanner and the size of requests', () => {
  const model = new PassModel(ENGINE_PROFILE);
  const planner = new PrefillPlanner(model);

  function isServed(
    demand: PromptDemand,
    engines: Parameters<PrefillPlanner['plan']>[1],
  ): boolean {
    return 'parts' in planner.plan(demand, engines);
  }

  for (const [promptTokens, answerTokens] of SMALL) {
    it(`serves ${promptTokens} and ${answerTokens} tokens on idle engines`, () => {
      const engines = ['a', 'b', 'c'].map(name => createIdleEngine(name));
      const limits = {objectiveMs: 300, callerTimeoutMs: 2_000};
      const demand = {promptTokens, answerTokens, ...limits};
      expect(isServed(demand, engines)).to.equal(true);
    });
  }

  // Load pattern: engines without load, which may be slow, and any request.
  it('refuses no request on idle engines that fits one and its deadline', () => {
    const demand = fc.record({
      tokens: fc.oneof(
        fc.integer({min: 1, max: 3_000}),
        fc.integer({min: 1, max: memoryTokens}),
      ),
      answerShare: fc.double({min: 0, max: 1, noNaN: true}),
      objectiveMs: fc.oneof(
        fc.integer({min: -1_000, max: 60_000}),
        fc.constant(Infinity),
      ),
      patience: fc.double({min: 1.001, max: 4, noNaN: true}),
    });
    fc.assert(
      fc.property(
        demand,
        fc.constantFrom(...SIZES),
        fc.double({min: 1, max: 10, noNaN: true}),
        ({tokens, answerShare, objectiveMs, patience}, count, slowdown) => {
          const answerTokens = Math.floor(answerShare * (tokens - 1));
          const promptTokens = tokens - answerTokens;
          const pairs = PassModel.countMillionPairs(promptTokens);
          const readMs = model.estimatePrefillMs(promptTokens, pairs);
          const engines = Array.from({length: count}, (_none, at) =>
            createIdleEngine(`e${at}`, {slowdownFactor: slowdown}),
          );
          const callerTimeoutMs = patience * slowdown * readMs;
          const limits = {objectiveMs, callerTimeoutMs};
          const request = {promptTokens, answerTokens, ...limits};
          expect(isServed(request, engines)).to.equal(true);
        },
      ),
      {seed: 1, numRuns: 400},
    );
  });

  // Load pattern: all engines write and read, and short and long prompts come.
  it('refuses short requests under full load no more often than all', () => {
    const engine = fc.record({
      decoding: fc.integer({min: 6, max: slots}),
      backlogMs: fc.integer({min: 0, max: 2_500}),
      nextPassPrefillMs: fc.integer({min: 0, max: 400}),
    });
    const fleets = fc.array(engine, {minLength: 3, maxLength: 14});
    const refused = {short: 0, all: 0};
    const drawn = {short: 0, all: 0};
    for (const given of fc.sample(fleets, {seed: 1, numRuns: 400})) {
      const engines = given.map(({decoding, ...load}, at) => ({
        ...createDecodingEngine(`e${at}`, decoding),
        ...load,
      }));
      for (const promptTokens of [100, 500, 1_460, 5_000, 40_000, 182_000]) {
        const isShort = promptTokens <= 500;
        const demand = {
          promptTokens,
          answerTokens: isShort ? 20 : 1_000,
          objectiveMs: 300 + promptTokens / 50,
          callerTimeoutMs: 2_000 + promptTokens / 12,
        };
        const isRefused = isServed(demand, engines) ? 0 : 1;
        drawn.all++;
        refused.all += isRefused;
        if (!isShort) continue;
        drawn.short++;
        refused.short += isRefused;
      }
    }
    const ratios = [refused.short / drawn.short, refused.all / drawn.all];
    const [short = 1, all = 0] = ratios;
    expect(all).to.be.within(0.1, 0.9);
    expect(short, ratios.join()).to.be.at.most(all);
  });
});
