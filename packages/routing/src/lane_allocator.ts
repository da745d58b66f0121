import type {ClassDemand} from './class_demand.js';
import type {Lane} from './lane.js';
import type {LengthClasses} from './length_classes.js';
import type {PreferredPositions} from './preferred_positions.js';
import {TokenRateMeter} from './token_rate_meter.js';

/** Engines that shorter classes get per engine that their demand keeps busy. */
const SHORTER_CLASS_HEADROOM = 1.5;
/**
 * From this number of engines on, the longest class leaves at least one engine
 * to shorter classes.
 */
const MIN_ENGINES_TO_RESERVE = 8;
/**
 * Minimum time between two computations of the lanes, and of the preferred
 * positions.
 */
const UPDATE_INTERVAL_MS = 100;
const PEER_EXPIRY_MS = 5000;
const MS_PER_SECOND = 1000;

interface LaneAllocation {
  readonly updatedAtMs: number;
  readonly engineCount: number;
  readonly lanes: readonly Lane[];
}

interface ReceivedDemand {
  readonly updatedAtMs: number;
  readonly demands: readonly ClassDemand[];
}

/** Divides the engines of a model among the length classes by demand. */
export class LaneAllocator {
  private readonly meters = new Map<string, TokenRateMeter[]>();
  private readonly peers = new Map<string, ReceivedDemand>();
  private readonly allocations = new Map<string, LaneAllocation>();

  private preferred: PreferredPositions = {rank: 0, count: 1};
  private preferredAtMs = -Infinity;

  /** @param localHost Name of this host, as its peers know it. */
  constructor(
    private readonly localHost: string,
    private readonly classes: LengthClasses,
  ) {}

  observeArrival(
    model: string,
    classIndex: number,
    tokens: number,
    nowMs: number,
  ): void {
    this.getMeters(model)[classIndex]?.add(tokens, nowMs);
  }

  observePeerDemand(
    host: string,
    demands: readonly ClassDemand[],
    nowMs: number,
  ): void {
    this.peers.set(host, {updatedAtMs: nowMs, demands});
  }

  /**
   * Demand at this host only; rates below one token per second are left out.
   */
  getLocalDemand(nowMs: number): ClassDemand[] {
    const demands: ClassDemand[] = [];
    for (const [model, meters] of this.meters) {
      meters.forEach((meter, index) => {
        const tokensPerSecond = meter.getTokensPerSecond(nowMs);
        const lengthClass = this.classes.at(index).name;
        if (tokensPerSecond >= 1) {
          demands.push({model, lengthClass, tokensPerSecond});
        }
      });
    }
    return demands;
  }

  /** Positions that this host prefers; its live peers prefer others. */
  findPreferredPositions(nowMs: number): PreferredPositions {
    if (nowMs - this.preferredAtMs < UPDATE_INTERVAL_MS) return this.preferred;
    for (const [host, {updatedAtMs}] of this.peers) {
      if (nowMs - updatedAtMs > PEER_EXPIRY_MS) this.peers.delete(host);
    }
    const hosts = [...this.peers.keys()];
    const rank = hosts.filter(host => host < this.localHost).length;
    this.preferred = {rank, count: hosts.length + 1};
    this.preferredAtMs = nowMs;
    return this.preferred;
  }

  /**
   * Total demand of the live peers for the class and all shorter ones, in
   * prompt tokens per millisecond.
   */
  sumPeerTokensPerMs(model: string, classIndex: number, nowMs: number): number {
    let tokensPerSecond = 0;
    for (const {updatedAtMs, demands} of this.peers.values()) {
      if (nowMs - updatedAtMs > PEER_EXPIRY_MS) continue;
      for (const demand of demands) {
        if (demand.model !== model) continue;
        const index = this.classes.indexOfName(demand.lengthClass);
        if (index !== undefined && index <= classIndex) {
          tokensPerSecond += demand.tokensPerSecond;
        }
      }
    }
    return tokensPerSecond / MS_PER_SECOND;
  }

  /**
   * Returns the lane of the class among the engines of the model.
   *
   * @param tokensPerMs Prefill rate of one engine.
   */
  findLane(
    model: string,
    classIndex: number,
    engineCount: number,
    tokensPerMs: number,
    nowMs: number,
  ): Lane {
    let allocation = this.allocations.get(model);
    if (
      allocation?.engineCount !== engineCount ||
      nowMs - allocation.updatedAtMs >= UPDATE_INTERVAL_MS
    ) {
      const demands = this.sumDemands(model, nowMs);
      const tokensPerSecond = tokensPerMs * MS_PER_SECOND;
      const lanes = demands.map((_, index) =>
        this.computeLane(demands, index, engineCount, tokensPerSecond),
      );
      allocation = {updatedAtMs: nowMs, engineCount, lanes};
      this.allocations.set(model, allocation);
    }
    return allocation.lanes[classIndex] ?? {start: 0, end: engineCount};
  }

  private computeLane(
    demandByClass: readonly number[],
    classIndex: number,
    engineCount: number,
    tokensPerSecond: number,
  ): Lane {
    const sum = (values: readonly number[]) =>
      values.reduce((total, value) => total + value, 0);
    const total = sum(demandByClass);
    const countEngines = (demand: number) =>
      total > 0 ? Math.ceil((engineCount * demand) / total) : 0;
    const shorterDemand = sum(demandByClass.slice(0, classIndex));
    const neededCount = Math.ceil(
      (shorterDemand * SHORTER_CLASS_HEADROOM) / tokensPerSecond,
    );
    const start = Math.min(
      Math.max(
        Math.min(countEngines(shorterDemand), neededCount),
        this.countReserved(classIndex, engineCount),
      ),
      engineCount - 1,
    );
    const throughCount = countEngines(
      sum(demandByClass.slice(0, classIndex + 1)),
    );
    const isLast = classIndex === this.classes.size - 1;
    const end = isLast ? engineCount : Math.max(throughCount, start + 1);
    return {start, end};
  }

  private countReserved(classIndex: number, engineCount: number): number {
    const isLongest = classIndex === this.classes.size - 1 && classIndex > 0;
    return isLongest && engineCount >= MIN_ENGINES_TO_RESERVE ? 1 : 0;
  }

  private sumDemands(model: string, nowMs: number): number[] {
    const demandByClass = this.getMeters(model).map(meter =>
      meter.getTokensPerSecond(nowMs),
    );
    for (const {updatedAtMs, demands} of this.peers.values()) {
      if (nowMs - updatedAtMs > PEER_EXPIRY_MS) continue;
      for (const demand of demands) {
        const index = this.classes.indexOfName(demand.lengthClass);
        if (demand.model !== model || index === undefined) continue;
        demandByClass[index] =
          (demandByClass[index] ?? 0) + demand.tokensPerSecond;
      }
    }
    return demandByClass;
  }

  private getMeters(model: string): TokenRateMeter[] {
    let meters = this.meters.get(model);
    if (!meters) {
      meters = Array.from(
        {length: this.classes.size},
        () => new TokenRateMeter(),
      );
      this.meters.set(model, meters);
    }
    return meters;
  }
}
