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
  it('fills in defaults and leaves its input unchanged', () => {
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
  const cases: [string, unknown, string][] = [
    [
      'an unknown setting',
      {orderz: 1},
      '/orderz is 1, allowed is nothing (unknown setting)',
    ],
    [
      'a missing setting',
      {site: null},
      '/site is missing, allowed is a value, which is required',
    ],
    [
      'a value of the wrong type',
      {timeLimits: {maxMs: 'x'}},
      '/timeLimits/maxMs is "x", allowed is an integer',
    ],
    [
      'a value out of range',
      {timeLimits: {maxMs: 0}},
      '/timeLimits/maxMs is 0, allowed is a number >= 1',
    ],
    [
      'length classes out of order',
      {lengthClasses: [BASE.lengthClasses[1], BASE.lengthClasses[0]]},
      '/lengthClasses/1/upToTokens is 10, allowed is more than 20 (upToTokens of the previous class)',
    ],
    [
      'a duplicate class name',
      {lengthClasses: [BASE.lengthClasses[0], {...second, name: 's'}]},
      '/lengthClasses/1/name is "s", allowed is a unique class name',
    ],
    [
      'a class time limit above the maximum',
      {lengthClasses: [{...second, timeLimitMs: 60_001}]},
      '/lengthClasses/0/timeLimitMs is 60001, allowed is at most 60000 (/timeLimits/maxMs)',
    ],
    [
      'a service time limit above the maximum',
      {services: {p: {calls: [], checksFencing: true, timeLimitMs: 60_001}}},
      '/services/p/timeLimitMs is 60001, allowed is at most 60000 (/timeLimits/maxMs)',
    ],
    [
      'a key hash that two accounts use, without printing it',
      {accounts: {b: {keyHashes: [HASH]}}},
      '/accounts/b/keyHashes/0 is "***", allowed is a key hash that is used only once',
    ],
    [
      'a context larger than the memory of the engines that serve one prompt',
      {models: {m: {contextTokens: 41}}},
      '/models/m/contextTokens is 41, allowed is at most 40 (total memory of the 4 engines that serve one prompt)',
    ],
    [
      'a context larger than the largest request body',
      {models: {m: {contextTokens: 1025, engineMemoryTokens: 9999}}},
      '/models/m/contextTokens is 1025, allowed is at most 1024 (/callers/maxBodyBytes divided by bytesPerToken)',
    ],
    [
      'a duplicate failure domain',
      {site: {failureDomains: ['d', 'd']}},
      '/site/failureDomains is ["d","d"], allowed is unique items',
    ],
    [
      'a dead time-out below the suspect time-out',
      {membership: {deadAfterMs: 1000}},
      '/membership/deadAfterMs is 1000, allowed is more than 1500 (suspectAfterMs)',
    ],
  ];
  for (const [name, patch, line] of cases) {
    it(`refuses: ${name}`, () => {
      const value = mergeSettings(mergeSettings(BASE, OVERLAY), patch);
      const lines = checkSettings(value).match({
        Ok: () => [],
        Err: problems => problems.map(formatProblem),
      });
      expect(lines).to.eql([line]);
    });
  }

  it('never throws on any JSON value', () => {
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
  it('refuses a duplicate host name and a host name in place of an IP address', () => {
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
      '/hosts/1/name is "h", allowed is a unique host name',
      '/hosts/1/callers is "gateway:80", allowed is an IP address and port, IP:port',
    ]);
  });
});

describe('explainSettings', () => {
  it('gives the source of each value and masks key hashes', () => {
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
  it('lists the changed values and masks key hashes', () => {
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
