import {expect} from 'chai';
import fc from 'fast-check';
import {CrashEvidence} from './crash_evidence.js';
import {describeScopes} from './describe_scopes.js';
import type {RequestTraits} from './request_traits.js';

const SEED = 1;
const STEP_MS = 100;
const ANSWER_MS = 300;
const HOSTS = 9;
/** Time at which early crashes were reported by all hosts. */
const SETTLED_MS = 100;
/** Time after which an upstream may crash once more. */
const RESTART_MS = 400;
const NONE: ReadonlySet<string> = new Set();
/** Three prompts with a part may reach upstreams after its fifth crash. */
const MAX_CRASHES = 8;
/** Three requests may reach upstreams after the third crash. */
const MAX_PLAIN_CRASHES = 6;

describe('CrashEvidence', () => {
  it('suspects a part after three crashes that no other part explains', () => {
    const evidence = new CrashEvidence();
    answer(evidence, ['first'], 0, HOSTS, 0);
    for (const at of [1, 2]) crash(evidence, `u${at}`, ['first', 'bad'], at);
    expect(evidence.assess(NONE, SETTLED_MS)).to.deep.equal([]);
    crash(evidence, 'u3', ['first', 'bad'], 3);
    expect(evidence.assess(NONE, SETTLED_MS)).to.deep.equal([
      {traits: ['bad'], crashes: 3, isConfirmed: true},
    ]);
  });

  it('does not take one outage for a part that crashes upstreams again', () => {
    const evidence = new CrashEvidence();
    for (let at = 0; at < 9; at++) {
      const upstream = `u${at}`;
      const [request, crashedAtMs] = [`request ${at}`, 200 + at];
      const report = {
        upstream,
        request,
        ...describeParts(['batch']),
        crashedAtMs,
        wasAlone: false,
      };
      evidence.recordCrash({...report, startedAtMs: at}, 200 + at);
    }
    const [suspicion] = evidence.assess(NONE, 300);
    expect(suspicion).to.include({crashes: 9, isConfirmed: false});
    answer(evidence, ['batch'], 4, 0, 400);
    expect(evidence.assess(NONE, 400)).to.deep.equal([]);
  });

  it('counts the reports of all hosts on one upstream as one crash', () => {
    const evidence = new CrashEvidence();
    for (let at = 0; at < 9; at++) crash(evidence, 'u', ['bystander'], at);
    expect(evidence.assess(NONE, SETTLED_MS)).to.deep.equal([]);
  });

  it('does not hold the crashes of one request that comes again against its parts', () => {
    const evidence = new CrashEvidence();
    answer(evidence, ['first'], 0, HOSTS, 0);
    const parts = ['first', 'topic'];
    for (const at of [1, 2, 3, 4]) crash(evidence, `u${at}`, parts, at, 'same');
    expect(evidence.assess(NONE, SETTLED_MS)).to.deep.equal([]);
  });

  it('does not suspect a part of two requests that crash for reasons of their own', () => {
    const evidence = new CrashEvidence();
    answer(evidence, ['first'], 0, HOSTS, 0);
    for (const at of [1, 2]) {
      crash(evidence, `u${at}`, ['first', 'topic'], at, 'one');
    }
    crash(evidence, 'u3', ['first', 'topic', 'bad'], 3, 'other');
    expect(evidence.assess(NONE, SETTLED_MS)).to.deep.equal([]);
  });

  it('does not take a request that crashes upstreams by itself for a proof against its part', () => {
    const evidence = new CrashEvidence();
    answer(evidence, ['first'], 0, HOSTS, 0);
    const [own, shared] = [
      ['first', 'topic'],
      ['first', 'topic', 'bad'],
    ];
    for (const at of [1, 2]) crash(evidence, `u${at}`, own, at, 'one');
    for (const at of [3, 4]) crash(evidence, `u${at}`, shared, at, 'other');
    crash(evidence, 'u5', own, 5, 'bystander');
    crash(evidence, 'u5', ['unknown'], 5, 'third');
    const [topic] = evidence.assess(NONE, SETTLED_MS);
    expect(topic).to.include({crashes: 5, isConfirmed: false});
  });

  it('does not take two requests that crash upstreams by themselves for a proof against their part', () => {
    const evidence = new CrashEvidence();
    answer(evidence, ['first'], 0, HOSTS, 0);
    const own = ['first', 'topic'];
    const shared = ['first', 'topic', 'bad'];
    for (const at of [1, 2]) crash(evidence, `u${at}`, own, at, 'one');
    crash(evidence, 'u3', own, 3, 'two');
    for (const at of [4, 5]) crash(evidence, `u${at}`, shared, at, 'three');
    const [topic] = evidence.assess(NONE, SETTLED_MS);
    expect(topic).to.include({crashes: 5, isConfirmed: false});
  });

  it('does not take prompts beside two requests that crash upstreams for a proof against their part', () => {
    const evidence = new CrashEvidence();
    answer(evidence, ['first'], 0, HOSTS, 0);
    const parts = ['first', 'topic'];
    for (const at of [1, 2, 3, 4]) {
      crash(evidence, `u${at}`, parts, at, at < 3 ? 'one' : 'two');
      for (const beside of ['a', 'b']) {
        crash(evidence, `u${at}`, parts, at, `beside ${beside}${at}`);
      }
    }
    const [topic] = evidence.assess(NONE, SETTLED_MS);
    expect(topic).to.include({crashes: 4, isConfirmed: false});
  });

  it('does not confirm a part that others ran beside in crashes at one time', () => {
    const evidence = new CrashEvidence();
    for (const at of [0, 1, 2, 3, 4]) {
      const crashedAtMs = at * STEP_MS;
      crash(evidence, `u${at}`, ['topic'], crashedAtMs);
      crash(evidence, `u${at}`, [`other ${at}`], crashedAtMs);
    }
    const [topic] = evidence.assess(NONE, 5 * STEP_MS);
    expect(topic).to.include({crashes: 5, isConfirmed: false});
    crash(evidence, 'u5', ['topic'], 6 * STEP_MS);
    crash(evidence, 'u5', ['other 5'], 6 * STEP_MS);
    const [again] = evidence.assess(NONE, 7 * STEP_MS);
    expect(again).to.include({crashes: 6, isConfirmed: true});
  });

  it('counts each crash of an upstream that is back at once', () => {
    const evidence = new CrashEvidence();
    for (const at of [0, 1, 2]) crash(evidence, 'u', ['bad'], at * RESTART_MS);
    const [suspicion] = evidence.assess(NONE, 3 * RESTART_MS);
    expect(suspicion?.crashes).to.equal(3);
  });

  it('suspects parts together that occurred only together', () => {
    const evidence = new CrashEvidence();
    for (const at of [1, 2, 3]) crash(evidence, `u${at}`, ['topic', 'bad'], at);
    const [both] = evidence.assess(NONE, SETTLED_MS);
    expect(both?.traits).to.deep.equal(['bad', 'topic']);
    crash(evidence, 'u4', ['other', 'bad'], 4);
    const [one, ...others] = evidence.assess(NONE, SETTLED_MS);
    expect(one?.traits).to.deep.equal(['bad']);
    expect(others).to.deep.equal([]);
  });

  it('tells a part that was sound before from those that stay sound', () => {
    const evidence = new CrashEvidence();
    for (let at = 0; at < 40; at++) {
      const parts = at % 2 === 0 ? ['first'] : ['first', 'turned'];
      answer(evidence, parts, at * STEP_MS, 1, at * STEP_MS);
    }
    let nowMs = 40 * STEP_MS;
    let crashes = 0;
    while (evidence.assess(NONE, nowMs).length === 0) {
      nowMs += STEP_MS;
      crash(evidence, `u${crashes++}`, ['first', 'turned'], nowMs);
      answer(evidence, ['first'], nowMs - ANSWER_MS, 1, nowMs);
    }
    expect(evidence.assess(NONE, nowMs)[0]?.traits).to.deep.equal(['turned']);
  });

  it('holds answers against a block, but not for a part that has turned bad since', () => {
    const evidence = new CrashEvidence();
    const parts = ['first', 'turned'];
    crash(evidence, 'u0', parts, 0);
    expect(evidence.isContradicted(['turned'])).to.equal(false);
    answer(evidence, parts, 10, 1, ANSWER_MS);
    expect(evidence.isContradicted(['turned'])).to.equal(true);
    expect(evidence.isContradicted(['other'])).to.equal(false);
    for (const at of [1, 2, 3]) {
      expect(evidence.isContradicted(['turned'])).to.equal(true);
      crash(evidence, `u${at}`, parts, at * 1_000);
    }
    expect(evidence.isContradicted(['turned'])).to.equal(false);
    const [turned] = evidence.assess(NONE, 3_000 + SETTLED_MS);
    expect(turned?.isConfirmed).to.equal(true);
  });

  it('blocks the crashing part in any traffic, and no request without it', () => {
    const sharedParts = fc.uniqueArray(fc.nat({max: 5}), {maxLength: 3});
    const step = fc.record({
      crashing: sharedParts,
      bystanders: fc.array(sharedParts, {maxLength: 3}),
      sound: fc.array(sharedParts, {minLength: 1, maxLength: 4}),
    });
    fc.assert(
      fc.property(fc.array(step, {minLength: 30, maxLength: 60}), steps => {
        const evidence = new CrashEvidence();
        const blocked: string[][] = [];
        const isBlocked = (parts: readonly string[]): boolean =>
          blocked.some(group => group.every(part => parts.includes(part)));
        let quarantined: string[] = [];
        let crashes = 0;
        for (const [at, {crashing, bystanders, sound}] of steps.entries()) {
          const nowMs = at * STEP_MS;
          for (const parts of sound.map(nameParts)) {
            expect(isBlocked(parts), String(blocked)).to.equal(false);
            const startedAtMs = nowMs - ANSWER_MS;
            answer(evidence, parts, startedAtMs, HOSTS, nowMs);
          }
          const parts = [...nameParts(crashing), 'bad'];
          if (isBlocked(parts)) continue;
          const upstream = `u${crashes++}`;
          crash(evidence, upstream, parts, nowMs);
          for (const beside of bystanders.map(nameParts)) {
            // What is in quarantine runs on upstreams of its own.
            if (beside.some(part => quarantined.includes(part))) continue;
            crash(evidence, upstream, beside, nowMs);
          }
          const single = new Set(
            blocked.filter(({length}) => length === 1).flat(),
          );
          const found = evidence.assess(single, nowMs + STEP_MS - 1);
          for (const {traits, isConfirmed} of found) {
            if (isConfirmed) blocked.push([...traits]);
          }
          quarantined = found
            .filter(({isConfirmed}) => !isConfirmed)
            .flatMap(({traits}) => traits);
        }
        expect(crashes).to.be.at.most(MAX_CRASHES);
      }),
      {seed: SEED, numRuns: 300},
    );
  });
});

describe('CrashEvidence of requests without a prompt', () => {
  it('blocks a parameter of the query, and no request without it', () => {
    const sharedParameters = fc.uniqueArray(fc.nat({max: 3}), {maxLength: 2});
    const step = fc.record({
      crashing: sharedParameters,
      bystanders: fc.array(sharedParameters, {maxLength: 2}),
      sound: fc.array(sharedParameters, {minLength: 1, maxLength: 4}),
    });
    fc.assert(
      fc.property(fc.array(step, {minLength: 20, maxLength: 40}), steps => {
        const evidence = new CrashEvidence();
        const blocked: string[][] = [];
        let [crashes, sent] = [0, 0];
        const describeCall = (parameters: readonly string[]): RequestTraits => {
          const [path, method] = ['path', 'path GET'];
          const own = `own ${sent++}`;
          return {scopes: [path, method, own, ...parameters], parts: []};
        };
        const isBlocked = ({scopes}: RequestTraits): boolean =>
          blocked.some(group => group.every(scope => scopes.includes(scope)));
        for (const [at, {crashing, bystanders, sound}] of steps.entries()) {
          const nowMs = at * STEP_MS;
          for (const call of sound.map(nameParts).map(describeCall)) {
            expect(isBlocked(call), String(blocked)).to.equal(false);
            evidence.recordAnswer(call, nowMs - ANSWER_MS, HOSTS, nowMs);
          }
          const call = describeCall([...nameParts(crashing), 'bad']);
          if (isBlocked(call)) continue;
          const upstream = `u${crashes++}`;
          const calls = bystanders.map(nameParts).map(describeCall);
          for (const one of [call, ...calls]) {
            const request = one.scopes.join(' ');
            const times = {startedAtMs: nowMs - 0.5, crashedAtMs: nowMs};
            const crash = {upstream, request, ...one, ...times};
            evidence.recordCrash({...crash, wasAlone: true}, nowMs);
          }
          for (const {traits, isConfirmed} of evidence.assess(
            new Set(),
            nowMs + STEP_MS - 1,
          )) {
            if (isConfirmed) blocked.push([...traits]);
          }
        }
        expect(crashes).to.be.at.most(MAX_PLAIN_CRASHES);
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  it('blocks requests with the same path, account and body under other methods', () => {
    const evidence = new CrashEvidence();
    const call = {account: 'm', headers: [], prompt: '', body: ''};
    for (const [at, method] of ['GET', 'HEAD', 'POST'].entries()) {
      const content = {...call, method, target: `/a?at=${at}`};
      const scopes = describeScopes(content);
      const report = {upstream: `u${at}`, request: method, scopes, parts: []};
      const times = {startedAtMs: at - 0.5, crashedAtMs: at, wasAlone: true};
      evidence.recordCrash({...report, ...times}, at);
    }
    const [suspicion] = evidence.assess(NONE, SETTLED_MS);
    const [any] = describeScopes({...call, method: 'GET', target: '/a'});
    expect(suspicion?.traits).to.deep.equal([any]);
    expect(suspicion?.isConfirmed).to.equal(true);
  });
});

/** Records the crash of an attempt that had just started. */
function crash(
  evidence: CrashEvidence,
  upstream: string,
  parts: readonly string[],
  nowMs: number,
  request = `request ${parts.join(' ')} at ${nowMs}`,
): void {
  const startedAtMs = nowMs - 0.5;
  const crash = {
    ...{upstream, request, startedAtMs},
    ...{crashedAtMs: nowMs, wasAlone: true},
  };
  evidence.recordCrash({...crash, ...describeParts(parts)}, nowMs);
}

function answer(
  evidence: CrashEvidence,
  parts: readonly string[],
  startedAtMs: number,
  weight: number,
  nowMs: number,
): void {
  evidence.recordAnswer(describeParts(parts), startedAtMs, weight, nowMs);
}

function describeParts(parts: readonly string[]): RequestTraits {
  return {scopes: [], parts};
}

function nameParts(numbers: readonly number[]): string[] {
  return numbers.map(number => `s${number}`);
}
