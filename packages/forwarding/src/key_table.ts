import type {Account} from './account.js';

/** Finds the client account that an API key belongs to. */
export class KeyTable {
  private readonly byKey = new Map<string, Account>();

  constructor(accounts: readonly Account[]) {
    for (const account of accounts) {
      for (const key of account.keys) this.byKey.set(key, account);
    }
  }

  find(key: string): Account | undefined {
    return this.byKey.get(key);
  }
}
