import {createHash} from 'node:crypto';
import type {Settings} from '@parsleywood/schema/settings';
import {SITE_ACCOUNTS} from './site_accounts.js';
import {SiteNames} from './site_names.js';

const CONTEXT_TOKENS = 1_200_000;
const MAX_BODY_BYTES = 8 * 1_048_576;
const KEEP_HOSTS_FOR_MS = 2_000;
const MAX_TIME_LIMIT_MS = 600_000;
/** All processes of a local site share one clock. */
const CLOCK_SKEW_MS = 10;
const KEY_MAX_AGE_MS = 600_000;

/** Makes the base settings of a local site. */
export function makeBaseSettings(
  keys: Readonly<Record<string, string>>,
  memoryTokens: number,
): Omit<Settings, 'site'> {
  const accounts: Settings['accounts'] = {};
  for (const [account, key] of Object.entries(keys)) {
    const keyHash = createHash('sha256').update(key).digest('hex');
    const share = SITE_ACCOUNTS[account] ?? 1;
    accounts[account] = {keyHashes: [keyHash], share};
  }
  return {
    models: {
      [SiteNames.MODEL]: {
        contextTokens: CONTEXT_TOKENS,
        engineMemoryTokens: memoryTokens,
      },
    },
    services: {
      [SiteNames.SERVICE]: {
        calls: [
          {method: 'POST', path: '/orders', repeatable: false},
          {method: 'GET', path: '/levels', repeatable: true},
        ],
        checksFencing: false,
      },
    },
    accounts,
    lengthClasses: [
      makeClass('short', 4_000, 30_000, 500, 0),
      makeClass('medium', 32_000, 60_000, 2_000, 3),
      makeClass('long', 128_000, 180_000, 10_000, 6),
      makeClass('giant', 1_000_000, 600_000, 60_000, 9),
    ],
    timeLimits: {maxMs: MAX_TIME_LIMIT_MS},
    callers: {
      keepHostsForMs: KEEP_HOSTS_FOR_MS,
      hostsPerAccount: 3,
      maxBodyBytes: MAX_BODY_BYTES,
    },
    orders: {keyMaxAgeMs: KEY_MAX_AGE_MS, clockSkewMs: CLOCK_SKEW_MS},
  };
}

function makeClass(
  name: string,
  upToTokens: number,
  timeLimitMs: number,
  firstTokenTargetMs: number,
  priority: number,
): Settings['lengthClasses'][number] {
  return {name, upToTokens, timeLimitMs, firstTokenTargetMs, priority};
}
