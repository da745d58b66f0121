import type {ClassDemand} from './class_demand.js';
import {ClassMeter} from './class_meter.js';
import type {HomePositions} from './home_positions.js';
import type {Lane} from './lane.js';
import type {LengthClasses} from './length_classes.js';

/** Engines that shorter classes get for each that their tokens keep busy. */
const SHORTER_HEADROOM = 1.5;
/** From this many engines on, one is kept from the longest class. */
const MIN_ENGINES_TO_RESERVE = 8;
/** How long a split of the engines is kept. */
const KEEP_MS = 100;
const PEER_EXPIRY_MS = 5000;
const MS_PER_SECOND = 1000;

interface Split {
  readonly atMs: number;
  readonly engineCount: number;
  readonly lanes: readonly Lane[];
}

interface PeerDemand {
  readonly atMs: number;
  readonly demands: readonly ClassDemand[];
}

/** Splits the engines of a model among the length classes by demand. */
export class LaneWidths {
  private readonly meters = new Map<string, ClassMeter[]>();
  private readonly peers = new Map<string, PeerDemand>();
  private readonly splits = new Map<string, Split>();

  private lastHomes: HomePositions = {rank: 0, count: 1};
  private homesAtMs = -Infinity;

  /** @param self Name of this host. */
  constructor(
    private readonly self: string,
    private readonly classes: LengthClasses,
  ) {}

  observeArrival(
    model: string,
    classIndex: number,
    tokens: number,
    nowMs: number,
  ): void {
    this.metersOf(model)[classIndex]?.add(tokens, nowMs);
  }

  observePeer(
    host: string,
    demands: readonly ClassDemand[],
    nowMs: number,
  ): void {
    this.peers.set(host, {atMs: nowMs, demands});
  }

  /** Demand of this host alone. */
  ownDemand(nowMs: number): ClassDemand[] {
    const demands: ClassDemand[] = [];
    for (const [model, meters] of this.meters) {
      meters.forEach((meter, index) => {
        const tokensPerSecond = meter.tokensPerSecond(nowMs);
        const lengthClass = this.classes.at(index).name;
        if (tokensPerSecond >= 1) {
          demands.push({model, lengthClass, tokensPerSecond});
        }
      });
    }
    return demands;
  }

  /** Positions that this host prefers, apart from those of its known peers. */
  homes(nowMs: number): HomePositions {
    if (nowMs - this.homesAtMs < KEEP_MS) return this.lastHomes;
    for (const [host, {atMs}] of this.peers) {
      if (nowMs - atMs > PEER_EXPIRY_MS) this.peers.delete(host);
    }
    const hosts = [...this.peers.keys()];
    const rank = hosts.filter(host => host < this.self).length;
    this.lastHomes = {rank, count: hosts.length + 1};
    this.homesAtMs = nowMs;
    return this.lastHomes;
  }

  /** Prompt tokens that the peers send in one millisecond, up to the class given. */
  peerTokensPerMs(model: string, classIndex: number, nowMs: number): number {
    let tokensPerSecond = 0;
    for (const {atMs, demands} of this.peers.values()) {
      if (nowMs - atMs > PEER_EXPIRY_MS) continue;
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
   * The class's positions among the engines of the model.
   *
   * @param tokensPerMs Prefill rate of one engine.
   */
  lane(
    model: string,
    classIndex: number,
    engineCount: number,
    tokensPerMs: number,
    nowMs: number,
  ): Lane {
    let split = this.splits.get(model);
    if (split?.engineCount !== engineCount || nowMs - split.atMs >= KEEP_MS) {
      const weights = this.weigh(model, nowMs);
      const tokensPerSecond = tokensPerMs * MS_PER_SECOND;
      const lanes = weights.map((_, index) =>
        this.splitOff(weights, index, engineCount, tokensPerSecond),
      );
      split = {atMs: nowMs, engineCount, lanes};
      this.splits.set(model, split);
    }
    return split.lanes[classIndex] ?? {start: 0, end: engineCount};
  }

  private splitOff(
    weights: readonly number[],
    classIndex: number,
    engineCount: number,
    tokensPerSecond: number,
  ): Lane {
    const sum = (values: readonly number[]) =>
      values.reduce((total, value) => total + value, 0);
    const total = sum(weights);
    const countFor = (weight: number) =>
      total > 0 ? Math.ceil((engineCount * weight) / total) : 0;
    const shorter = sum(weights.slice(0, classIndex));
    const needed = Math.ceil((shorter * SHORTER_HEADROOM) / tokensPerSecond);
    const start = Math.min(
      Math.max(
        Math.min(countFor(shorter), needed),
        this.reserve(classIndex, engineCount),
      ),
      engineCount - 1,
    );
    const through = countFor(sum(weights.slice(0, classIndex + 1)));
    const isLast = classIndex === this.classes.size - 1;
    const end = isLast ? engineCount : Math.max(through, start + 1);
    return {start, end};
  }

  private reserve(classIndex: number, engineCount: number): number {
    const isLongest = classIndex === this.classes.size - 1 && classIndex > 0;
    return isLongest && engineCount >= MIN_ENGINES_TO_RESERVE ? 1 : 0;
  }

  private weigh(model: string, nowMs: number): number[] {
    const weights = this.metersOf(model).map(meter =>
      meter.tokensPerSecond(nowMs),
    );
    for (const {atMs, demands} of this.peers.values()) {
      if (nowMs - atMs > PEER_EXPIRY_MS) continue;
      for (const demand of demands) {
        const index = this.classes.indexOfName(demand.lengthClass);
        if (demand.model !== model || index === undefined) continue;
        weights[index] = (weights[index] ?? 0) + demand.tokensPerSecond;
      }
    }
    return weights;
  }

  private metersOf(model: string): ClassMeter[] {
    let meters = this.meters.get(model);
    if (!meters) {
      meters = Array.from({length: this.classes.size}, () => new ClassMeter());
      this.meters.set(model, meters);
    }
    return meters;
  }
}
