import {createHash} from 'node:crypto';
import type {Settings} from '@parsleywood/schema/settings';
import {ENGINE_DEFAULTS} from '@parsleywood/stand-ins';
import {makeBaseSettings} from './make_base_settings.js';
import {makeOverlay} from './make_overlay.js';

type Accounts = Settings['accounts'];

/** Makes base and overlay with many accounts, half of them in each. */
export function makeControlValues(
  accounts: number,
  openAt: Date,
  keepHostsForMs: number,
): {readonly base: object; readonly overlay: object} {
  const names = Array.from({length: accounts}, (_, i) => `a${i}`);
  const half = Math.ceil(accounts / 2);
  const usual = makeBaseSettings({}, ENGINE_DEFAULTS.memoryTokens);
  return {
    base: {
      ...usual,
      callers: {...usual.callers, keepHostsForMs},
      accounts: makeAccounts(names.slice(0, half)),
    },
    overlay: {
      ...makeOverlay(openAt),
      accounts: makeAccounts(names.slice(half)),
    },
  };
}

function makeAccounts(names: readonly string[]): Accounts {
  const accounts: Accounts = {};
  for (const name of names) {
    const keyHash = createHash('sha256').update(name).digest('hex');
    accounts[name] = {keyHashes: [keyHash]};
  }
  return accounts;
}
