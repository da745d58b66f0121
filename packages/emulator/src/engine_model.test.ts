import {PassModel} from '@parsleywood/dispatch';
import {expect} from 'chai';
import {VirtualTime} from '@parsleywood/types/testing';
import type {EngineJob} from './engine_job.js';
import {EngineModel} from './engine_model.js';

const PROFILE = {
  slots: 2,
  memoryTokens: 405_000,
  stepsPerPass: 34,
  stepMs: 1.31,
  stepMsPerWriter: 0,
  stepMsPerThousandTokens: 0,
  readTokensPerMs: 154,
  readMsPerMillionPairs: 0.162,
  chunkTokens: 2_048,
  meanAnswerTokens: 340,
};
/** A pass with writers that reads nothing. */
const PASS_MS = 34 * 1.31;

describe('EngineModel', () => {
  let time: VirtualTime;
  let engine: EngineModel;
  let events: {id: string; atMs: number}[];

  beforeEach(() => {
    time = new VirtualTime();
    engine = new EngineModel(new PassModel(PROFILE), time);
    events = [];
  });

  function read(id: string, tokens: number, isAhead = false): EngineJob {
    const job: EngineJob = {
      id,
      promptTokens: tokens,
      answerTokens: 340,
      writtenTokens: 0,
      unreadParts: 1,
      isOver: false,
      onEvent: () => {
        events.push({id, atMs: time.nowMs});
      },
      onEnd: () => {
        job.isOver = true;
        engine.drop(job);
      },
    };
    engine.read(
      {
        job,
        isAhead,
        tokens,
        millionPairs: PassModel.countMillionPairs(tokens),
        heldTokens: tokens,
        leftTokens: tokens,
        onRead: () => {
          if (isAhead) engine.startWriting(job);
        },
      },
      !isAhead,
    );
    return job;
  }

  function times(id: string): number[] {
    return events.filter(one => one.id === id).map(({atMs}) => atMs);
  }

  it('reads on an idle engine at its speed, and writes an event a pass', () => {
    read('a', 5_000);
    time.runAll();
    const [first = 0, second = 0] = times('a');
    const prefillMs = 5_000 / 154 + PassModel.countMillionPairs(5_000) * 0.162;
    expect(first).to.be.closeTo(prefillMs, 0.01);
    expect(second - first).to.be.closeTo(PASS_MS, 0.01);
    expect(times('a')).to.have.length(10);
  });

  it('lets answers pause for as long as a pass reads beside them', () => {
    read('a', 2_048);
    time.after(100, () => {
      read('b', 30_000);
    });
    time.runAll();
    const all = times('a');
    const pauses = all.slice(1).map((atMs, at) => atMs - (all[at] ?? 0));
    const prefillMs =
      30_000 / 154 + PassModel.countMillionPairs(30_000) * 0.162;
    expect(Math.max(...pauses)).to.be.closeTo(PASS_MS + prefillMs, 0.01);
  });

  it('reads parts of shared prompts first, the newest before the others', () => {
    read('a', 200_000);
    time.after(1, () => read('b', 2_048, true));
    time.after(2, () => read('c', 2_048, true));
    time.runAll();
    const first = (id: string): number => times(id)[0] ?? Infinity;
    expect(first('c')).to.be.lessThan(first('a'));
    expect(first('c')).to.be.at.most(first('b'));
  });

  it('takes no more than its memory, and lets some wait for a slot', () => {
    expect(engine.hasRoom(405_001)).to.equal(false);
    read('a', 2_048);
    expect(engine.hasRoom(400_000)).to.equal(true);
    expect(engine.hasRoom(404_000)).to.equal(false);
    for (const id of ['b', 'c', 'd', 'e']) read(id, 2_048);
    expect(engine.hasRoom(1)).to.equal(true);
    read('f', 2_048);
    expect(engine.hasRoom(1)).to.equal(false);
    time.runAll();
    expect(times('c')[0]).to.be.greaterThan(times('a')[9] ?? Infinity);
    expect(times('f')).to.have.length(10);
    expect(engine.hasRoom(405_000)).to.equal(true);
  });

  it('loses what it holds in a crash, and takes work again later', () => {
    read('a', 5_000);
    time.after(60, () => {
      engine.crash(1_000);
    });
    time.after(500, () => {
      expect(engine.hasRoom(1)).to.equal(false);
    });
    time.runAll();
    expect(times('a').length).to.be.lessThan(10);
    expect(engine.hasRoom(405_000)).to.equal(true);
  });
});
