const HASHES = ['a'.repeat(64), 'b'.repeat(64)];

/** Published values of a small site named `s`, as JSON text. */
export const FIXTURES = {
  /**
   * A base. Base and overlay are valid together only in the same variant, 0 or
   * 1: of different variants, two accounts have the same key hash.
   */
  base(variant = 0): string {
    const accounts = {a: {keyHashes: [HASHES[variant]]}};
    return JSON.stringify({
      accounts,
      services: {},
      lengthClasses: [
        {name: 's', upToTokens: 9, timeLimitMs: 9, firstTokenTargetMs: 9},
      ],
      timeLimits: {maxMs: 10_000},
      callers: {keepHostsForMs: 100, hostsPerAccount: 1, maxBodyBytes: 4096},
      orders: {keyMaxAgeMs: 3000},
    });
  },
  overlay(variant = 0): string {
    return JSON.stringify({
      site: {name: 's', region: 'r', failureDomains: ['d']},
      models: {m: {contextTokens: 9, engineMemoryTokens: 9}},
      accounts: {b: {keyHashes: [HASHES[1 - variant]]}},
    });
  },
  invalidBase: '{"orders": 1}',
  hosts: '{"hosts": []}',
  upstreams: '{"upstreams": []}',
};
