import {createHash} from 'node:crypto';

/** Bearer API keys, by test account. */
const KEYS = {one: 'test-key-one', two: 'test-key-two'};

/** Default base settings of a test site. */
export const TEST_SETTINGS = {
  models: {
    'test-llm': {contextTokens: 1_000_000, engineMemoryTokens: 400_000},
  },
  services: {
    'test-app': {
      checksFencing: false,
      calls: [
        {method: 'POST', path: '/orders', repeatable: false},
        {method: 'GET', path: '/levels', repeatable: true},
      ],
    },
  },
  accounts: {
    one: {keyHashes: [hash(KEYS.one)]},
    two: {keyHashes: [hash(KEYS.two)]},
  },
  lengthClasses: [
    {
      name: 'short',
      upToTokens: 4_000,
      timeLimitMs: 10_000,
      firstTokenTargetMs: 1_300,
    },
    {
      name: 'long',
      upToTokens: 1_000_000,
      timeLimitMs: 60_000,
      firstTokenTargetMs: 30_000,
    },
  ],
  timeLimits: {maxMs: 600_000},
  callers: {
    keepHostsForMs: 100,
    hostsPerAccount: 2,
    maxBodyBytes: 6_000_000,
    bodyTimeoutMs: 1_000,
  },
  orders: {keyMaxAgeMs: 600_000, clockSkewMs: 0},
};

function hash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
