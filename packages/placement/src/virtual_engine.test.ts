import type {EngineState} from './engine_state.js';
import type {EngineCommand} from './engine_command.js';
import {EngineCommandKind} from './engine_command_kind.js';

const LOAD_MS = 2_000;
const MODEL = 'm';

interface HeldArtifact {
  readonly kind: string;
  readonly name: string;
  readonly version: string;
  readonly readyAtMs: number;
}

/**
 * Simulated engine on virtual time. Records each change made by a command whose
 * fencing token is older than that of an earlier change.
 */
export class VirtualEngine {
  readonly reverts: string[] = [];
  readonly loadTimesMs: number[] = [];
  private fencing = 0;
  private lastChangeFencing = 0;
  private role = 'both';
  private artifacts: HeldArtifact[] = [];

  constructor(private readonly checksFencing: boolean) {
    this.restart();
  }

  restart(): void {
    this.fencing = 0;
    this.lastChangeFencing = 0;
    this.role = 'both';
    const kind = EngineCommandKind.LOAD_MODEL;
    this.artifacts = [{kind, name: MODEL, version: '', readyAtMs: -Infinity}];
  }

  isServing(nowMs: number): boolean {
    return this.artifacts.some(
      ({name, readyAtMs}) => name === MODEL && readyAtMs <= nowMs,
    );
  }

  isLoading(nowMs: number): boolean {
    return this.artifacts.some(({readyAtMs}) => readyAtMs > nowMs);
  }

  read(nowMs: number): EngineState {
    const loads = this.artifacts.map(({kind, name, version, readyAtMs}) => {
      return {kind, name, version, ready: readyAtMs <= nowMs};
    });
    return {fencing: this.fencing, role: this.role, loads};
  }

  apply(command: EngineCommand, nowMs: number): boolean {
    if (this.checksFencing && command.fencing < this.fencing) return false;
    this.fencing = Math.max(this.fencing, command.fencing);
    if (command.kind === EngineCommandKind.SET_ROLE) {
      if (command.role !== undefined && command.role !== this.role) {
        this.role = command.role;
        this.recordChange(command);
      }
      return true;
    }
    const {kind, name = '', version = ''} = command;
    const current = this.artifacts.find(
      one => one.kind === kind && one.name === name,
    );
    if (current?.version === version) return true;
    this.recordChange(command);
    this.loadTimesMs.push(nowMs);
    const startMs = Math.max(
      nowMs,
      ...this.artifacts.map(one => one.readyAtMs),
    );
    this.artifacts = this.artifacts.filter(one => one !== current);
    this.artifacts.push({kind, name, version, readyAtMs: startMs + LOAD_MS});
    return true;
  }

  private recordChange(command: EngineCommand): void {
    if (command.fencing < this.lastChangeFencing) {
      this.reverts.push(
        `${command.kind} ${command.fencing} < ${this.lastChangeFencing}`,
      );
    }
    this.lastChangeFencing = Math.max(this.lastChangeFencing, command.fencing);
  }
}
