import type {EngineContent} from './engine_content.js';
import type {EngineOrder} from './engine_order.js';
import {EngineOrderKind} from './engine_order_kind.js';

const LOAD_MS = 2_000;
const MODEL = 'm';

interface Held {
  readonly kind: string;
  readonly name: string;
  readonly version: string;
  readonly readyAtMs: number;
}

/** An engine on virtual time that notes every change back to an older revision. */
export class VirtualEngine {
  readonly reverts: string[] = [];
  readonly loadTimesMs: number[] = [];
  private fencing = 0;
  private changedBy = 0;
  private role = 'both';
  private held: Held[] = [];

  constructor(private readonly checksFencing: boolean) {
    this.restart();
  }

  restart(): void {
    this.fencing = 0;
    this.changedBy = 0;
    this.role = 'both';
    const kind = EngineOrderKind.LOAD_MODEL;
    this.held = [{kind, name: MODEL, version: '', readyAtMs: -Infinity}];
  }

  isServing(nowMs: number): boolean {
    return this.held.some(
      ({name, readyAtMs}) => name === MODEL && readyAtMs <= nowMs,
    );
  }

  isLoading(nowMs: number): boolean {
    return this.held.some(({readyAtMs}) => readyAtMs > nowMs);
  }

  read(nowMs: number): EngineContent {
    const loads = this.held.map(({kind, name, version, readyAtMs}) => {
      return {kind, name, version, ready: readyAtMs <= nowMs};
    });
    return {fencing: this.fencing, role: this.role, loads};
  }

  apply(order: EngineOrder, nowMs: number): boolean {
    if (this.checksFencing && order.fencing < this.fencing) return false;
    this.fencing = Math.max(this.fencing, order.fencing);
    if (order.kind === EngineOrderKind.SET_ROLE) {
      if (order.role !== undefined && order.role !== this.role) {
        this.role = order.role;
        this.note(order);
      }
      return true;
    }
    const {kind, name = '', version = ''} = order;
    const same = this.held.find(one => one.kind === kind && one.name === name);
    if (same?.version === version) return true;
    this.note(order);
    this.loadTimesMs.push(nowMs);
    const startMs = Math.max(nowMs, ...this.held.map(one => one.readyAtMs));
    this.held = this.held.filter(one => one !== same);
    this.held.push({kind, name, version, readyAtMs: startMs + LOAD_MS});
    return true;
  }

  private note(order: EngineOrder): void {
    if (order.fencing < this.changedBy) {
      this.reverts.push(`${order.kind} ${order.fencing} < ${this.changedBy}`);
    }
    this.changedBy = Math.max(this.changedBy, order.fencing);
  }
}
