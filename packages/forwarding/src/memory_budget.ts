import type {MemoryAccount} from './memory_account.js';
import {MemoryKind} from './memory_kind.js';

const BYTES_PER_MB = 1_048_576;
/** Memory of a process that serves no caller, with room for its heap to grow. */
const BASE_MB = 120;
const MIN_TOTAL_MB = 24;
/** Part of the rest that accounts may take; buffers of sockets take the others. */
const TOTAL_SHARE = 0.5;
const KIND_SHARES: Readonly<Record<MemoryKind, number>> = {
  [MemoryKind.BODY]: 0.5,
  [MemoryKind.ANSWER]: 0.25,
  [MemoryKind.UNSENT]: 0.25,
};
/** Part of the room for a kind that is left to accounts of a few kB. */
const SMALL_SHARE = 0.25;
const SMALL_BYTES = 65_536;
/** Part of the room for a kind that large accounts of one address may take. */
const ADDRESS_SHARE = 0.5;

/** Time for which a body waits for room before it is refused. */
const MAX_WAIT_MS = 500;
/** Time without progress after which a caller may be ended under pressure. */
const STALLS_MS: Readonly<Record<MemoryKind, number>> = {
  [MemoryKind.BODY]: 250,
  [MemoryKind.ANSWER]: Infinity,
  // Slow links take some time for what is written at once.
  [MemoryKind.UNSENT]: 500,
};

/**
 * Divides a host's memory among its callers. Load pattern: clients that send many
 * large bodies at once and stop before their end, or that do not read their answers,
 * beside ordinary callers.
 */
export class MemoryBudget {
  private readonly accounts = new Set<MemoryAccount>();
  private readonly waiting = new Set<MemoryAccount>();
  private readonly held = new Map<MemoryKind, number>();
  private readonly totalBytes: number;

  /** @param memoryMb Memory that the process may use. */
  constructor(memoryMb: number) {
    const totalMb = Math.max(MIN_TOTAL_MB, (memoryMb - BASE_MB) * TOTAL_SHARE);
    this.totalBytes = totalMb * BYTES_PER_MB;
  }

  /** Whether an account waits for room. */
  get isUnderPressure(): boolean {
    return this.waiting.size > 0;
  }

  getHeldBytes(kind: MemoryKind): number {
    return this.held.get(kind) ?? 0;
  }

  /** Bytes that all accounts of a kind may take together. */
  getMaxBytes(kind: MemoryKind): number {
    return this.totalBytes * KIND_SHARES[kind];
  }

  /** Bytes that accounts of a kind take beyond what they may. */
  getExcessBytes(kind: MemoryKind): number {
    return Math.max(0, this.getHeldBytes(kind) - this.getMaxBytes(kind));
  }

  open(kind: MemoryKind, address: string, nowMs: number): MemoryAccount {
    const account = {
      kind,
      address,
      heldBytes: 0,
      wantedBytes: 0,
      waitsSinceMs: 0,
      progressAtMs: nowMs,
      awaitsCaller: true,
    };
    this.accounts.add(account);
    return account;
  }

  /** Takes bytes at once. @return Whether there was room. */
  take(account: MemoryAccount, bytes: number, nowMs: number): boolean {
    if (!this.hasRoom(account, bytes)) return false;
    this.record(account, bytes, nowMs);
    return true;
  }

  /** Records bytes that are taken whether or not there is room. */
  record(account: MemoryAccount, bytes: number, nowMs: number): void {
    account.heldBytes += bytes;
    account.progressAtMs = nowMs;
    const {kind} = account;
    this.held.set(kind, this.getHeldBytes(kind) + bytes);
  }

  /**
   * Takes bytes at once or, if there is no room, waits for them.
   *
   * @return Whether they are granted; if not, `grant` may return the account later.
   */
  want(account: MemoryAccount, bytes: number, nowMs: number): boolean {
    if (this.take(account, bytes, nowMs)) return true;
    account.wantedBytes = bytes;
    account.waitsSinceMs = nowMs;
    this.waiting.add(account);
    return false;
  }

  /**
   * Grants what there is room for: small amounts first, then in order of arrival.
   * What is granted stays in order, so that a few are served whole.
   */
  grant(nowMs: number): MemoryAccount[] {
    const granted: MemoryAccount[] = [];
    const isSmall = ({heldBytes, wantedBytes}: MemoryAccount): boolean =>
      heldBytes + wantedBytes <= SMALL_BYTES;
    const order = [...this.waiting].sort(
      (left, right) => Number(isSmall(right)) - Number(isSmall(left)),
    );
    for (const account of order) {
      if (!this.take(account, account.wantedBytes, nowMs)) continue;
      account.wantedBytes = 0;
      this.waiting.delete(account);
      granted.push(account);
    }
    return granted;
  }

  /** Lists accounts that have waited too long for room. */
  listExpired(nowMs: number): MemoryAccount[] {
    return [...this.waiting].filter(
      ({waitsSinceMs}) => nowMs - waitsSinceMs >= MAX_WAIT_MS,
    );
  }

  /**
   * Chooses the account of a kind whose caller is to be ended, if room is lacking:
   * the one without progress for the longest time, and the largest among those.
   */
  chooseStalled(kind: MemoryKind, nowMs: number): MemoryAccount | undefined {
    let chosen: MemoryAccount | undefined;
    for (const account of this.accounts) {
      const {heldBytes, progressAtMs, awaitsCaller} = account;
      if (account.kind !== kind || !awaitsCaller || heldBytes === 0) continue;
      if (account.wantedBytes > 0 || nowMs - progressAtMs < STALLS_MS[kind]) {
        continue;
      }
      if (chosen === undefined || isEndedBefore(account, chosen)) {
        chosen = account;
      }
    }
    return chosen;
  }

  /** Gives bytes back. */
  give(account: MemoryAccount, bytes: number, nowMs: number): void {
    this.record(account, -bytes, nowMs);
  }

  /** Gives back all that an account takes, and forgets it. */
  close(account: MemoryAccount, nowMs: number): void {
    this.record(account, -account.heldBytes, nowMs);
    this.waiting.delete(account);
    this.accounts.delete(account);
  }

  private hasRoom(account: MemoryAccount, bytes: number): boolean {
    const {kind, address} = account;
    const heldBytes = this.getHeldBytes(kind);
    const maxBytes = this.getMaxBytes(kind);
    // A single large request is served whatever it takes.
    const otherBytes = heldBytes - account.heldBytes;
    if (otherBytes <= maxBytes * SMALL_SHARE) return true;
    if (account.heldBytes + bytes <= SMALL_BYTES) {
      return heldBytes + bytes <= maxBytes;
    }
    const largeBytes = maxBytes * (1 - SMALL_SHARE);
    if (heldBytes + bytes > largeBytes) return false;
    const addressBytes = this.sumOf(kind, address);
    return (
      addressBytes === account.heldBytes ||
      addressBytes + bytes <= maxBytes * ADDRESS_SHARE
    );
  }

  private sumOf(kind: MemoryKind, address: string): number {
    let sum = 0;
    for (const account of this.accounts) {
      const isOne = account.kind === kind && account.address === address;
      if (isOne) sum += account.heldBytes;
    }
    return sum;
  }
}

/** Stalls that differ by less are taken for the same, so that size decides. */
const STALL_STEP_MS = 250;

function isEndedBefore(left: MemoryAccount, right: MemoryAccount): boolean {
  const stepOf = ({progressAtMs}: MemoryAccount): number =>
    Math.floor(progressAtMs / STALL_STEP_MS);
  const [leftStep, rightStep] = [stepOf(left), stepOf(right)];
  if (leftStep !== rightStep) return leftStep < rightStep;
  return left.heldBytes > right.heldBytes;
}
