import {describeRoute} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {findTimeLimit} from './compute_time_limit.js';
import type {RequestFacts} from './request_metadata.js';

const ROUTE = describeRoute({timeoutMs: 1_200});
const FACTS: RequestFacts = {
  id: 'r1',
  method: 'GET',
  target: '/',
  host: 'a.example',
  key: undefined,
  timeLimitMs: 2_500,
  promptTokens: 0,
  maxAnswerTokens: 0,
  answerEstimate: 0,
  lastEventId: undefined,
};

describe('findTimeLimit', () => {
  it("takes the smaller one of caller's and route's", () => {
    expect(findTimeLimit(FACTS, ROUTE)).to.equal(1_200);
    expect(findTimeLimit({...FACTS, timeLimitMs: 900}, ROUTE)).to.equal(900);
  });

  it('is finite where neither has one, as timers take no infinite time', () => {
    const facts = {...FACTS, timeLimitMs: undefined};
    const route = {...ROUTE};
    Reflect.deleteProperty(route, 'timeoutMs');
    expect(findTimeLimit(facts, route)).to.equal(600_000);
  });
});
