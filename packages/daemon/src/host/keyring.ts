import {createHash} from 'node:crypto';
import type {Settings} from '@parsleywood/schema/settings';

/** Maps bearer API keys, stored as SHA-256 hashes, to client accounts. */
export class Keyring {
  private readonly accounts = new Map<string, string>();

  constructor(settings: Settings) {
    for (const [account, own] of Object.entries(settings.accounts)) {
      for (const hash of own?.keyHashes ?? []) this.accounts.set(hash, account);
    }
  }

  /** Account for an authorization header; undefined if the key is missing, malformed or unknown. */
  findAccount(authorization: string | undefined): string | undefined {
    const key = /^Bearer (\S+)$/i.exec(authorization ?? '')?.[1];
    if (key === undefined) return undefined;
    const hash = createHash('sha256').update(key).digest('hex');
    return this.accounts.get(hash);
  }
}
