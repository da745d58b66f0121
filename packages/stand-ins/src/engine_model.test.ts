import {expect} from 'chai';
import fc from 'fast-check';
import {
  CacheEventKind,
  ENGINE_DEFAULTS,
  EngineActionKind,
  EngineEventKind,
  EngineFinish,
  EngineModel,
  EngineRefusal,
  type EngineAction,
  type EngineSubmission,
} from './index.js';

const OPTIONS = {
  ...ENGINE_DEFAULTS,
  memoryTokens: 1_000,
  prefillTokensPerSecond: 1_000,
  decodeTokensPerSecond: 100,
  chunkTokens: 100,
  blockTokens: 10,
  stepOverheadMs: 0,
};

const SUBMISSION: EngineSubmission = {
  attempt: 'a',
  owner: 'host-1/1',
  model: 'm',
  priority: 5,
  promptTokens: 100,
  blocks: [],
  answerTokens: 2,
  finish: EngineFinish.LENGTH,
  resumeFrom: 0,
  limitMs: 600_000,
};

function submit(
  model: EngineModel,
  changes: Partial<EngineSubmission>,
  nowMs = 0,
): EngineAction[] {
  const submission = {...SUBMISSION, ...changes};
  return model.handle({kind: EngineEventKind.SUBMIT, submission}, nowMs);
}

function wake(model: EngineModel, nowMs: number): EngineAction[] {
  return model.handle({kind: EngineEventKind.WAKE}, nowMs);
}

/** Advances until nothing is due. */
function runAll(model: EngineModel): EngineAction[] {
  const actions: EngineAction[] = [];
  while (model.wakeAtMs() < Infinity) {
    actions.push(...wake(model, model.wakeAtMs()));
  }
  return actions;
}

/** Time of the first token of each attempt, in milliseconds. */
function firstTokens(actions: readonly EngineAction[]): Record<string, number> {
  const times: Record<string, number> = {};
  for (const action of actions) {
    if (action.kind !== EngineActionKind.TOKEN) continue;
    times[action.attempt] ??= action.atMs;
  }
  return times;
}

function blocksOf(name: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${name}-${index}`);
}

describe('EngineModel', () => {
  it('answers one attempt at the rates stated', () => {
    const model = new EngineModel(OPTIONS);
    expect(submit(model, {})).to.eql([]);
    expect(runAll(model)).to.eql([
      {kind: EngineActionKind.TOKEN, attempt: 'a', position: 0, atMs: 100},
      {kind: EngineActionKind.TOKEN, attempt: 'a', position: 1, atMs: 110},
      {
        kind: EngineActionKind.FINISH,
        attempt: 'a',
        position: 2,
        finish: EngineFinish.LENGTH,
        usage: {promptTokens: 100, completionTokens: 2, cachedTokens: 0},
        atMs: 110,
      },
    ]);
  });

  it('shares the prefill rate over the running batch', () => {
    const model = new EngineModel(OPTIONS);
    submit(model, {attempt: 'a', promptTokens: 200});
    submit(model, {attempt: 'b', promptTokens: 200});
    const times = firstTokens(runAll(model));
    expect(times['a']).to.equal(200);
    expect(times['b']).to.be.greaterThan(399);
  });

  it('lets a prompt of higher priority pass a long one', () => {
    const times = [5, 0].map(priority => {
      const model = new EngineModel(OPTIONS);
      submit(model, {attempt: 'long', promptTokens: 900});
      submit(model, {attempt: 'short', promptTokens: 50, priority}, 10);
      return firstTokens(runAll(model))['short'];
    });
    // At equal priority it waits for all chunks of the long prompt.
    expect(times[0]).to.be.greaterThan(900);
    // Otherwise only for the chunk that is being computed.
    expect(times[1]).to.equal(200);
  });

  it('follows a later change of priority', () => {
    const model = new EngineModel(OPTIONS);
    submit(model, {attempt: 'long', promptTokens: 900});
    submit(model, {attempt: 'short', promptTokens: 50});
    const kind = EngineEventKind.SET_PRIORITY;
    model.handle({kind, attempt: 'short', priority: 0}, 150);
    expect(firstTokens(runAll(model))['short']).to.equal(300);
  });

  it('skips what the prefix cache holds and evicts the oldest', () => {
    const model = new EngineModel(OPTIONS);
    const blocks = blocksOf('x', 10);
    submit(model, {blocks});
    runAll(model);
    expect(model.memory.cachedTokens).to.equal(100);
    submit(model, {attempt: 'b', blocks}, 1_000);
    expect(runAll(model).at(-1)).to.deep.include({
      usage: {promptTokens: 100, completionTokens: 2, cachedTokens: 100},
    });
    submit(model, {attempt: 'c', promptTokens: 998}, 2_000);
    expect(model.memory.cachedTokens).to.equal(0);
    runAll(model);
    const events = model.cacheEvents(0, Infinity);
    const evicted = events.filter(({kind}) => kind === CacheEventKind.EVICTED);
    // Deepest blocks go first.
    expect(evicted.map(({prefixHash}) => prefixHash)).to.eql(
      [...blocks].reverse(),
    );
  });

  it('shows cache events late and with gaps', () => {
    const model = new EngineModel({...OPTIONS, cacheEventLossInterval: 3});
    submit(model, {blocks: blocksOf('x', 5)});
    wake(model, 100);
    expect(model.cacheEvents(0, 399)).to.eql([]);
    const sequences = model.cacheEvents(1, 400).map(({sequence}) => sequence);
    expect(sequences).to.eql([2, 4, 5]);
  });

  it('reports its load as of an earlier time', () => {
    const model = new EngineModel(OPTIONS);
    submit(model, {promptTokens: 500});
    submit(model, {attempt: 'b', promptTokens: 100}, 50);
    const {atMs, running, waitingTokens} = model.load(60);
    expect({atMs, running, waitingTokens}).to.eql({
      atMs: 0,
      running: 1,
      waitingTokens: 500,
    });
    expect(model.load(250).waiting).to.equal(1);
  });

  it('refuses what it cannot run', () => {
    const model = new EngineModel({...OPTIONS, maxWaiting: 1});
    model.models.add('m');
    const refuse = (changes: Partial<EngineSubmission>) => {
      const [action] = submit(model, {attempt: 'z', ...changes});
      return action?.kind === EngineActionKind.REFUSE && action.refusal;
    };
    submit(model, {promptTokens: 900});
    expect(refuse({model: 'other'})).to.equal(EngineRefusal.MODEL_NOT_LOADED);
    expect(refuse({attempt: 'a'})).to.equal(EngineRefusal.DUPLICATE_ATTEMPT);
    expect(refuse({promptTokens: 999})).to.equal(
      EngineRefusal.LARGER_THAN_MEMORY,
    );
    expect(refuse({reservation: 'none'})).to.equal(
      EngineRefusal.UNKNOWN_RESERVATION,
    );
    submit(model, {attempt: 'waiting'});
    expect(refuse({})).to.equal(EngineRefusal.FULL);
    model.leaving = true;
    expect(refuse({})).to.equal(EngineRefusal.LEAVING);
  });

  it('ends the work when its time limit passes', () => {
    const model = new EngineModel(OPTIONS);
    submit(model, {promptTokens: 900, limitMs: 450});
    const actions = runAll(model);
    expect(actions).to.eql([{kind: EngineActionKind.EXPIRE, attempt: 'a'}]);
    expect(model.memory.usedTokens).to.equal(0);
  });

  it('computes nothing while frozen', () => {
    const model = new EngineModel(OPTIONS);
    submit(model, {});
    model.freeze(5_000);
    expect(wake(model, 4_999)).to.eql([]);
    submit(model, {attempt: 'b', promptTokens: 50}, 4_999);
    expect(firstTokens(runAll(model))).to.eql({a: 5_000, b: 5_060});
  });

  it('runs a prompt larger than its memory on reservations', () => {
    const model = new EngineModel(OPTIONS);
    const owner = SUBMISSION.owner;
    const reservation = {id: 'r', owner, tokens: 900, expiresAtMs: 2_000};
    expect(model.memory.reserve(reservation)).to.equal(true);
    const giant = {promptTokens: 2_498, reservation: 'r', remoteTokens: 1_600};
    expect(submit(model, giant)).to.eql([]);
    const finish = runAll(model).at(-1);
    expect(finish).to.deep.include({kind: EngineActionKind.FINISH, atMs: 2508});
    // The reservation outlives its time while in use, and no longer.
    expect(model.memory.usedTokens).to.equal(0);
  });

  it('gives the memory of a reservation to one stream at a time', () => {
    const model = new EngineModel(OPTIONS);
    const owner = SUBMISSION.owner;
    model.memory.reserve({id: 'r', owner, tokens: 900, expiresAtMs: 1});
    const giant = {promptTokens: 898, reservation: 'r'};
    submit(model, {...giant, attempt: 'a'});
    submit(model, {...giant, attempt: 'b'});
    const times = firstTokens(runAll(model));
    expect(times['b']).to.be.greaterThan((times['a'] ?? 0) + 898);
    expect(model.memory.usedTokens).to.equal(0);
  });

  it('continues at a position with the same prompt and cache', () => {
    const model = new EngineModel(OPTIONS);
    submit(model, {answerTokens: 5, resumeFrom: 3});
    const positions = runAll(model).map(action =>
      action.kind === EngineActionKind.TOKEN ? action.position : action.kind,
    );
    expect(positions).to.eql([3, 4, EngineActionKind.FINISH]);
  });

  it('keeps only its cache once all work has ended', () => {
    const step = fc.record({
      kind: fc.constantFrom('submit', 'cancel', 'wake', 'reserve', 'export'),
      attempt: fc.integer({min: 0, max: 9}),
      prompt: fc.integer({min: 1, max: 1_100}),
      shared: fc.integer({min: 0, max: 2}),
      limitMs: fc.integer({min: 1, max: 3_000}),
      waitMs: fc.integer({min: 0, max: 300}),
    });
    const property = fc.property(fc.array(step, {maxLength: 40}), steps => {
      const model = new EngineModel(OPTIONS);
      let nowMs = 0;
      for (const {kind, attempt, prompt, shared, limitMs, waitMs} of steps) {
        const name = String(attempt);
        nowMs += waitMs;
        if (kind === 'submit') {
          const blocks = blocksOf(`p${shared}`, Math.floor(prompt / 10));
          const promptTokens = prompt;
          submit(
            model,
            {attempt: name, promptTokens, blocks, limitMs, reservation: ''},
            nowMs,
          );
        } else if (kind === 'cancel') {
          const cancel = EngineEventKind.CANCEL;
          model.handle({kind: cancel, attempt: name}, nowMs);
        } else if (kind === 'reserve') {
          const expiresAtMs = nowMs + limitMs;
          const tokens = prompt % 400;
          model.memory.reserve({id: name, owner: 'o', tokens, expiresAtMs});
        } else if (kind === 'export') {
          if (!model.memory.readExport(name)) model.exportStream(name);
        }
        wake(model, nowMs);
        expect(model.memory.usedTokens).to.be.within(0, 1_000);
      }
      runAll(model);
      for (const {id} of model.memory.listExports()) {
        model.memory.deleteExport(id);
      }
      expect(model.listStreams()).to.eql([]);
      expect(model.memory.usedTokens).to.equal(model.memory.cachedTokens);
    });
    fc.assert(property, {seed: 1, numRuns: 300});
  });
});
