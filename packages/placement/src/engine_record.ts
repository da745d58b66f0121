import type {EngineContent} from './engine_content.js';
import {EngineOrderKind} from './engine_order_kind.js';
import type {WantedEngine} from './desired_engine.js';
import type {WantedLoad} from './desired_artifact.js';

/** What this host knows of one engine, and its call in flight. */
export class EngineRecord {
  content: EngineContent | undefined;
  /** Start of the read that gave `content`; an order makes it void. */
  readAtMs = -Infinity;
  /** End of the first read that showed the fencing number of `content`. */
  fencedAtMs = Infinity;
  nextReadAtMs = -Infinity;
  callStartedAtMs: number | undefined;
  isDown = false;
  /** Whether a load was ordered and not read back since. */
  isLoadOrdered = false;

  constructor(public wanted: WantedEngine) {}

  takeContent(content: EngineContent, nowMs: number): void {
    const hasRestarted = this.lostLoads(content);
    const isOther = content.fencing !== this.content?.fencing;
    if (isOther || hasRestarted) this.fencedAtMs = nowMs;
    this.content = content;
    this.readAtMs = this.callStartedAtMs ?? -Infinity;
    this.isDown = false;
    this.isLoadOrdered = false;
    this.callStartedAtMs = undefined;
  }

  /** Takes the end of a call that left the state unknown. */
  takeEnd(isDown: boolean): void {
    this.callStartedAtMs = undefined;
    this.readAtMs = -Infinity;
    this.nextReadAtMs = -Infinity;
    this.isDown = isDown;
  }

  isFresh(nowMs: number, freshMs: number): boolean {
    return (
      this.callStartedAtMs === undefined && nowMs - this.readAtMs <= freshMs
    );
  }

  /** Whether no order with a smaller number can take effect any more. */
  isFenced(fencing: number, holdMs: number): boolean {
    if (this.content?.fencing !== fencing) return false;
    return (
      this.wanted.checksFencing || this.readAtMs - this.fencedAtMs >= holdMs
    );
  }

  isServing(): boolean {
    return this.loads().some(
      ({kind, name, ready}) =>
        kind === EngineOrderKind.LOAD_MODEL &&
        name === this.wanted.model &&
        ready,
    );
  }

  isLoading(): boolean {
    return this.isLoadOrdered || this.loads().some(({ready}) => !ready);
  }

  /** First wanted load that the engine neither holds nor is loading. */
  missingLoad(): WantedLoad | undefined {
    return this.wanted.loads.find(
      wanted =>
        !this.loads().some(
          ({kind, name, version}) =>
            kind === wanted.kind &&
            name === wanted.name &&
            version === wanted.version,
        ),
    );
  }

  isConverged(fencing: number): boolean {
    const {content, wanted} = this;
    return (
      content !== undefined &&
      !this.isDown &&
      content.fencing === fencing &&
      content.role === wanted.role &&
      this.missingLoad() === undefined &&
      !this.isLoading()
    );
  }

  /** Whether loads are gone, as after a restart that no read has shown. */
  private lostLoads(content: EngineContent): boolean {
    return this.loads().some(
      old =>
        !content.loads.some(
          ({kind, name, version}) =>
            kind === old.kind && name === old.name && version === old.version,
        ),
    );
  }

  private loads() {
    return this.content?.loads ?? [];
  }
}
