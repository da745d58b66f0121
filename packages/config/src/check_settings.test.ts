import {expect} from 'chai';
import fc from 'fast-check';
import type {HostList} from '@parsleywood/schema/host_list';
import {
  checkHostList,
  checkSettings,
  checkUpstreamList,
  compareSettings,
  explainSettings,
  formatProblem,
  mergeSettings,
  ValueSource,
} from './index.js';

const RUNS = {seed: 1, numRuns: 300};
const HASH = 'a'.repeat(64);
const BASE = {
  lengthClasses: [
    {name: 's', upToTokens: 10, timeLimitMs: 90, firstTokenTargetMs: 9},
    {name: 'l', upToTokens: 20, timeLimitMs: 90, firstTokenTargetMs: 9},
  ],
  timeLimits: {maxMs: 60_000},
  callers: {keepHostsForMs: 100, hostsPerAccount: 1, maxBodyBytes: 4096},
  orders: {keyMaxAgeMs: 3000},
  services: {},
  accounts: {a: {keyHashes: [HASH]}},
};
const OVERLAY = {
  site: {name: 's', region: 'r', failureDomains: ['d']},
  models: {m: {contextTokens: 20, engineMemoryTokens: 10}},
  callers: {hostsPerAccount: 2},
};

describe('checkSettings', () => {
  it('fills in the defaults of a copy', () => {
    const merged = mergeSettings(BASE, OVERLAY);
    const settings = checkSettings(merged).unwrapOrElse(problems => {
      throw new Error(problems.map(formatProblem).join());
    });
    expect(settings.orders).to.eql({
      keyMaxAgeMs: 3000,
      clockSkewMs: 2000,
      claimTimeoutMs: 1000,
    });
    expect(settings.membership?.probeIntervalMs).to.equal(500);
    expect(merged).to.eql(mergeSettings(BASE, OVERLAY));
  });

  const second = {...BASE.lengthClasses[1]};
  const faults: [string, unknown, string][] = [
    [
      'unknown name',
      {orderz: 1},
      '/orderz is 1, allowed is no setting of this name',
    ],
    [
      'missing',
      {site: null},
      '/site is missing, allowed is a value: it is required',
    ],
    [
      'type',
      {timeLimits: {maxMs: 'x'}},
      '/timeLimits/maxMs is "x", allowed is an integer',
    ],
    [
      'range',
      {timeLimits: {maxMs: 0}},
      '/timeLimits/maxMs is 0, allowed is a number >= 1',
    ],
    [
      'classes out of order',
      {lengthClasses: [BASE.lengthClasses[1], BASE.lengthClasses[0]]},
      '/lengthClasses/1/upToTokens is 10, allowed is more than 20, upToTokens of the class before',
    ],
    [
      'class name twice',
      {lengthClasses: [BASE.lengthClasses[0], {...second, name: 's'}]},
      '/lengthClasses/1/name is "s", allowed is a name that no class has before',
    ],
    [
      'time limit above the longest',
      {lengthClasses: [{...second, timeLimitMs: 60_001}]},
      '/lengthClasses/0/timeLimitMs is 60001, allowed is at most 60000, /timeLimits/maxMs',
    ],
    [
      'service time limit above the longest',
      {services: {p: {calls: [], checksFencing: true, timeLimitMs: 60_001}}},
      '/services/p/timeLimitMs is 60001, allowed is at most 60000, /timeLimits/maxMs',
    ],
    [
      'key hash of two accounts, masked',
      {accounts: {b: {keyHashes: [HASH]}}},
      '/accounts/b/keyHashes/0 is "***", allowed is a key hash that no account has before',
    ],
    [
      'context over the memory of the engines of one prompt',
      {models: {m: {contextTokens: 41}}},
      '/models/m/contextTokens is 41, allowed is at most 40, the memory of the 4 engines of one prompt',
    ],
    [
      'context over the largest body',
      {models: {m: {contextTokens: 1025, engineMemoryTokens: 9999}}},
      '/models/m/contextTokens is 1025, allowed is at most 1024, /callers/maxBodyBytes over bytesPerToken',
    ],
    [
      'failure domain twice',
      {site: {failureDomains: ['d', 'd']}},
      '/site/failureDomains is ["d","d"], allowed is items that differ from each other',
    ],
    [
      'membership out of order',
      {membership: {deadAfterMs: 1000}},
      '/membership/deadAfterMs is 1000, allowed is more than 1500, suspectAfterMs',
    ],
  ];
  for (const [name, patch, line] of faults) {
    it(`refuses: ${name}`, () => {
      const value = mergeSettings(mergeSettings(BASE, OVERLAY), patch);
      const lines = checkSettings(value).match({
        Ok: () => [],
        Err: problems => problems.map(formatProblem),
      });
      expect(lines).to.eql([line]);
    });
  }

  it('never throws on JSON', () => {
    const checks = [checkSettings, checkHostList, checkUpstreamList];
    fc.assert(
      fc.property(fc.jsonValue(), fc.jsonValue(), (value, part) => {
        for (const check of checks) check(value);
        const mixed = mergeSettings(BASE, {...OVERLAY, models: part});
        checkSettings(mixed);
        explainSettings(BASE, part);
        compareSettings(value, part);
      }),
      RUNS,
    );
  });
});

describe('checkHostList', () => {
  it('refuses a name twice and a name in place of an IP number', () => {
    const host: HostList['hosts'][number] = {
      name: 'h',
      callers: '10.0.0.1:80',
      peers: '[::1]:81',
      failureDomain: 'd',
      state: 'live',
    };
    const list = {hosts: [host, {...host, callers: 'gateway:80'}]};
    const lines = checkHostList(list).match({
      Ok: () => [],
      Err: problems => problems.map(formatProblem),
    });
    expect(lines).to.eql([
      '/hosts/1/name is "h", allowed is a name that no host has before',
      '/hosts/1/callers is "gateway:80", allowed is an IP number and port, IP:port',
    ]);
  });
});

describe('explainSettings', () => {
  it('names the source of each value and masks key hashes', () => {
    const values = explainSettings(BASE, OVERLAY);
    const byPath = new Map(values.map(value => [value.path, value]));
    const paths = [
      '/callers/hostsPerAccount',
      '/callers/maxBodyBytes',
      '/callers/bodyTimeoutMs',
      '/lengthClasses/0/priority',
      '/accounts/a/keyHashes',
    ];
    expect(paths.map(path => byPath.get(path))).to.eql([
      {path: paths[0], value: 2, source: ValueSource.OVERLAY},
      {path: paths[1], value: 4096, source: ValueSource.BASE},
      {path: paths[2], value: 30_000, source: ValueSource.DEFAULT},
      {path: paths[3], value: 5, source: ValueSource.DEFAULT},
      {path: paths[4], value: '***', source: ValueSource.BASE},
    ]);
    expect(JSON.stringify(values)).not.to.include(HASH);
  });
});

describe('compareSettings', () => {
  it('lists what differs and masks key hashes', () => {
    const after = mergeSettings(BASE, {
      accounts: {a: {keyHashes: ['b'.repeat(64)]}, b: {share: 2}},
      timeLimits: null,
    });
    expect(compareSettings(BASE, after)).to.eql([
      {path: '/accounts/a/keyHashes', before: '***', after: '***'},
      {path: '/accounts/b/share', before: undefined, after: 2},
      {path: '/timeLimits/maxMs', before: 60_000, after: undefined},
    ]);
  });
});
