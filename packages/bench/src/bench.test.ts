import {expect} from 'chai';
import {checkCompletions} from './check_completions.js';
import {checkOrders} from './check_orders.js';
import {expectedChatAnswer} from './expected_chat_answer.js';
import {findMedian} from './find_median.js';
import {makeBaseSettings} from './make_base_settings.js';
import {makeQuestion} from './make_question.js';
import {makeReport} from './make_report.js';
import {compareReadings} from './compare_readings.js';
import {fitLine} from './fit_line.js';

describe('bench', () => {
  it('meets targets at or within their bounds only', () => {
    const figures = {low: -1, at: 2, over: 3, rate: 10, missing: NaN};
    const measured = {name: 'n', seeds: [1], figures, baseline: {}};
    const {met} = makeReport(measured, {
      low: {atMost: 2},
      at: {atMost: 2},
      over: {atMost: 2},
      rate: {atLeast: 11},
      missing: {atMost: 1},
      absent: {atMost: 1},
    });
    expect(met).to.eql({
      low: true,
      at: true,
      over: false,
      rate: false,
      missing: false,
      absent: false,
    });
  });

  it('finds the middle of odd and even counts', () => {
    expect(findMedian([3, 1, 2])).to.equal(2);
    expect(findMedian([4, 1, 2, 3])).to.equal(2.5);
    expect(findMedian([])).to.be.NaN;
  });

  it('makes questions of a size that have answers of their own', () => {
    const questions = ['a: ', 'b: '].map(own => makeQuestion(own, 100));
    expect(questions.map(({length}) => length)).to.eql([400, 400]);
    const [first = '', second = ''] = questions;
    expect(expectedChatAnswer(first, 4)).to.not.equal(
      expectedChatAnswer(second, 4),
    );
  });

  it('publishes only the hashes of keys', () => {
    const settings = makeBaseSettings({'team-b': 'secret'}, 1_000);
    expect(JSON.stringify(settings)).to.not.include('secret');
    expect(settings.accounts['team-b']?.keyHashes).to.eql([
      '2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b',
    ]);
  });

  it('finds completions that broke a promise', () => {
    const right = {
      status: 200,
      text: 'a b',
      whole: true,
      firstTokenMs: 1,
      totalMs: 2,
      host: 'host-1',
      requestId: 'r',
    };
    const check = (changes: Partial<typeof right> & {errorKind?: string}) =>
      checkCompletions(
        [{sentAtMs: 0, expected: 'a b', result: {...right, ...changes}}],
        {limitMs: 1_000, longestPauseMs: 0, killsAtMs: [3_000]},
      ).length;
    expect(check({})).to.equal(0);
    expect(check({text: 'a'})).to.equal(1);
    expect(check({text: 'c', whole: false, errorKind: 'e'})).to.equal(1);
    expect(check({text: 'a', whole: false})).to.equal(1);
    expect(check({text: 'a', whole: false, errorKind: 'e'})).to.equal(0);
    expect(check({totalMs: 5_000})).to.equal(1);
    const cut = {text: '', whole: false, errorKind: 'connection: reset'};
    expect(check(cut)).to.equal(1);
    expect(check({...cut, totalMs: 2_000})).to.equal(0);
  });

  it('finds orders that broke a promise', () => {
    const check = (
      sends: readonly {status: number; body?: string; ran?: string}[],
      count: number,
    ) =>
      checkOrders(
        [
          {
            sentAtMs: 0,
            idempotencyKey: 'k',
            answers: sends.map(send => ({
              body: '',
              totalMs: 1,
              host: '',
              ...send,
            })),
          },
        ],
        new Map([['k', count]]),
      ).length;
    expect(check([{status: 201}], 1)).to.equal(0);
    expect(check([{status: 201}], 2)).to.equal(1);
    expect(check([{status: 201}], 0)).to.equal(1);
    expect(check([{status: 503, ran: 'no'}], 0)).to.equal(0);
    expect(check([{status: 503, ran: 'no'}], 1)).to.equal(1);
    expect(check([{status: 409, ran: 'unknown'}], 1)).to.equal(0);
    const differing = [
      {status: 201, body: 'a'},
      {status: 201, body: 'b'},
    ];
    expect(check(differing, 1)).to.equal(1);
  });

  it('fits lines and gives the cost of one host', () => {
    const {slope, offset} = fitLine([
      [1, 5],
      [2, 7],
      [3, 9],
    ]);
    expect([slope, offset]).to.deep.equal([2, 3]);
    const before = {
      atMs: 0,
      processorMs: 0,
      peerMessages: 0,
      peerMessageBytes: 0,
      peerWireBytes: 0,
      platformCalls: 0,
      platformBytes: 0,
      loadPolls: 0,
      engineBytes: 0,
    };
    const after = {
      atMs: 2_000,
      processorMs: 80,
      peerMessages: 4,
      peerMessageBytes: 8,
      peerWireBytes: 12,
      platformCalls: 16,
      platformBytes: 20,
      loadPolls: 24,
      engineBytes: 28,
    };
    expect(compareReadings(before, after, 2)).to.deep.equal({
      processorPercent: 2,
      peerMessagesPerS: 1,
      peerMessageBytesPerS: 2,
      peerWireBytesPerS: 6,
      platformCallsPerS: 4,
      platformBytesPerS: 5,
      loadPollsPerS: 6,
      engineBytesPerS: 7,
      bytesPerS: 18,
    });
  });
});
