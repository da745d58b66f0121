import {expect} from 'chai';
import type {CallContent} from './call_content.js';
import {describeScopes} from './describe_scopes.js';

const CALL = {
  method: 'GET',
  target: '/read/7?bin=4&at=1',
  account: 'mill',
  headers: ['accept: text/plain'],
  prompt: '',
  body: '',
};

/** Returns how many scopes a call has in common with the first one. */
function countShared(changes: Partial<CallContent>): number {
  const before = describeScopes(CALL);
  return describeScopes({...CALL, ...changes}).filter(scope =>
    before.includes(scope),
  ).length;
}

describe('describeScopes', () => {
  it('joins calls that differ in query, method or headers only', () => {
    expect(describeScopes(CALL)).to.have.length(5);
    expect(countShared({})).to.equal(5);
    expect(countShared({target: '/read/7?at=1&bin=4'})).to.equal(5);
    expect(countShared({target: '/read/7?bin=4&at=2'})).to.equal(4);
    expect(countShared({target: '/read/7'})).to.equal(3);
    expect(countShared({method: 'HEAD'})).to.equal(4);
    expect(countShared({headers: ['accept: */*']})).to.equal(4);
  });

  it('tells prompts apart first, which may have the rest in common', () => {
    const prompt = describeScopes({...CALL, prompt: 'a,b'});
    expect(prompt.slice(1)).to.deep.equal(describeScopes(CALL));
    const [first, ...others] = describeScopes({...CALL, prompt: 'a,c'});
    expect(others).to.deep.equal(prompt.slice(1));
    expect(prompt).not.to.include(first);
  });

  it('keeps calls of other paths, accounts and bodies apart', () => {
    expect(countShared({target: '/read/8?bin=4&at=1'})).to.equal(0);
    expect(countShared({account: 'shop'})).to.equal(0);
    expect(countShared({body: '4'})).to.equal(0);
  });

  it('describes a bounded number of parameters and headers', () => {
    const target = `/a?${new Array(99)
      .fill(0)
      .map((_none, at) => `p${at}`)
      .join('&')}`;
    const headers = Array.from({length: 99}, (_none, at) => `h${at}: 1`);
    expect(describeScopes({...CALL, target, headers})).to.have.length(66);
  });
});
