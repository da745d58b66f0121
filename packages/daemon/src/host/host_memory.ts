import type {Socket} from 'node:net';
import {
  CollectionPolicy,
  MemoryBudget,
  MemoryKind,
  type MemoryAccount,
} from '@parsleywood/forwarding';
import type {Clock} from './clock.js';
import {MemoryEnd} from './memory_end.js';
import {collectGarbage} from './collect_garbage.js';
import {HostBounds} from './host_bounds.js';
import type {MemoryListener} from './memory_listener.js';
import type {MemoryObserver} from './memory_observer.js';

const CHECK_INTERVAL_MS = 100;
const COLLECTION_INTERVAL_MS = 50;
const BYTES_PER_MB = 1_048_576;

/** Gives out a host's memory, and ends callers where it is short. */
export class HostMemory {
  readonly budget: MemoryBudget;
  private readonly listeners = new Map<MemoryAccount, MemoryListener>();
  private timer: NodeJS.Timeout | undefined;
  private policy: CollectionPolicy | undefined;

  constructor(
    private readonly clock: Clock,
    readonly bounds = new HostBounds(),
    readonly observer?: MemoryObserver,
  ) {
    this.budget = new MemoryBudget(bounds.memoryMb);
  }

  /** Starts to watch the memory of the process, if the settings bound it. */
  watch(): void {
    const {isMemoryBounded, memoryMb} = this.bounds;
    if (!isMemoryBounded) return;
    const policy = new CollectionPolicy(memoryMb);
    this.policy = policy;
    setInterval(() => {
      this.collect(policy);
    }, COLLECTION_INTERVAL_MS).unref();
  }

  /** Records that a caller was refused whose request was not read whole. */
  recordRefusal(): void {
    this.policy?.recordRefusal(this.clock.nowMs());
  }

  /** Closes a connection as too many are open. */
  closeConnection(socket: Socket): void {
    this.recordRefusal();
    this.observer?.onConnectionClosed(socket.remoteAddress ?? '');
    socket.destroy();
  }

  open(
    kind: MemoryKind,
    address: string,
    listener: MemoryListener,
  ): MemoryAccount {
    const account = this.budget.open(kind, address, this.clock.nowMs());
    this.listeners.set(account, listener);
    return account;
  }

  /** Takes bytes. @return Whether they are granted; else the listener is called. */
  want(account: MemoryAccount, bytes: number): boolean {
    const isGranted = this.budget.want(account, bytes, this.clock.nowMs());
    if (!isGranted) this.check();
    return isGranted;
  }

  /**
   * Sets the bytes that an account takes, whether or not there is room.
   *
   * @return Whether accounts of this kind take more than they may.
   */
  update(account: MemoryAccount, bytes: number): boolean {
    const {budget, clock} = this;
    const grown = bytes - account.heldBytes;
    if (grown > 0) {
      const {progressAtMs} = account;
      budget.record(account, grown, clock.nowMs());
      // What is written is no progress of its reader.
      if (account.heldBytes > grown) account.progressAtMs = progressAtMs;
    } else if (grown < 0) budget.give(account, -grown, clock.nowMs());
    const isExcess = budget.getExcessBytes(account.kind) > 0;
    if (isExcess) this.check();
    return isExcess;
  }

  /** Records that a caller has sent or read something. */
  recordProgress(account: MemoryAccount): void {
    account.progressAtMs = this.clock.nowMs();
  }

  close(account: MemoryAccount): void {
    if (!this.listeners.delete(account)) return;
    this.budget.close(account, this.clock.nowMs());
    if (this.budget.isUnderPressure) this.grant();
  }

  private collect(policy: CollectionPolicy): void {
    const startMs = this.clock.nowMs();
    const beforeMb = readResidentMb();
    if (!policy.mustCollect(beforeMb, startMs)) {
      // Buffers that were just used are most of what a host under load can free.
      if (policy.isHigh(beforeMb)) collectGarbage(false);
      return;
    }
    collectGarbage(true);
    const afterMb = readResidentMb();
    const endMs = this.clock.nowMs();
    policy.recordCollection(afterMb, endMs);
    this.observer?.onCollected(
      Math.round(beforeMb - afterMb),
      Math.round(endMs - startMs),
    );
  }

  private grant(): void {
    for (const account of this.budget.grant(this.clock.nowMs())) {
      this.listeners.get(account)?.onGranted();
    }
  }

  /** Ends callers until there is room, now and from time to time. */
  private check(): void {
    if (this.timer !== undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.makeRoom();
      if (this.isShort) this.check();
    }, CHECK_INTERVAL_MS);
  }

  private get isShort(): boolean {
    const {budget} = this;
    return (
      budget.isUnderPressure || budget.getExcessBytes(MemoryKind.UNSENT) > 0
    );
  }

  private makeRoom(): void {
    const {budget, clock} = this;
    this.grant();
    for (const account of budget.listExpired(clock.nowMs())) {
      this.end(account, MemoryEnd.NO_ROOM);
    }
    while (budget.isUnderPressure && this.endStalled(MemoryKind.BODY));
    while (
      budget.getExcessBytes(MemoryKind.UNSENT) > 0 &&
      this.endStalled(MemoryKind.UNSENT)
    );
  }

  private endStalled(kind: MemoryKind): boolean {
    const account = this.budget.chooseStalled(kind, this.clock.nowMs());
    if (account === undefined) return false;
    this.end(account, MemoryEnd.STALLED);
    return true;
  }

  private end(account: MemoryAccount, end: MemoryEnd): void {
    this.recordRefusal();
    this.observer?.onEnded(account, end);
    const listener = this.listeners.get(account);
    this.close(account);
    listener?.onEnded(end);
  }
}

function readResidentMb(): number {
  return process.memoryUsage.rss() / BYTES_PER_MB;
}
