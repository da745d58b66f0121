import {createRoute} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {computeTimeLimit} from './compute_time_limit.js';
import type {RequestMetadata} from './request_metadata.js';

const ROUTE = createRoute({timeoutMs: 1_200});
const METADATA: RequestMetadata = {
  id: 'r1',
  method: 'GET',
  target: '/',
  host: 'a.example',
  accountKey: undefined,
  timeLimitMs: 2_500,
  promptTokens: 0,
  maxAnswerTokens: 0,
  estimatedAnswerTokens: 0,
  promptParts: [],
  lastEventId: undefined,
};

describe('computeTimeLimit', () => {
  it("uses the smaller of the caller's and the route's limit", () => {
    expect(computeTimeLimit(METADATA, ROUTE)).to.equal(1_200);
    expect(computeTimeLimit({...METADATA, timeLimitMs: 900}, ROUTE)).to.equal(
      900,
    );
  });

  it('is finite without either limit, because timers accept no infinite delay', () => {
    const metadata = {...METADATA, timeLimitMs: undefined};
    const route = {...ROUTE};
    Reflect.deleteProperty(route, 'timeoutMs');
    expect(computeTimeLimit(metadata, route)).to.equal(600_000);
  });
});
