import type {DesiredArtifact} from './desired_artifact.js';
import type {DesiredEngine} from './desired_engine.js';
import type {EngineState} from './engine_state.js';
import {EngineCommandKind} from './engine_command_kind.js';

/** Last known state of one engine, and the call to it that is in flight. */
export class EngineRecord {
  /** State that the last successful read returned. */
  lastState: EngineState | undefined;
  /**
   * Start time of the read that returned `lastState`; -Infinity after a command
   * or a failed call, which may have changed the state.
   */
  stateReadAtMs = -Infinity;
  /**
   * End time of the first read that returned the fencing token of `lastState`,
   * or that showed a restart.
   */
  fencedAtMs = Infinity;
  nextReadAtMs = -Infinity;
  /** Start time of the read or command in flight. */
  callStartedAtMs: number | undefined;
  /** Whether the last call failed. */
  isDown = false;
  /** Whether a load was commanded and no read has succeeded since. */
  isLoadSent = false;

  constructor(public desired: DesiredEngine) {}

  recordState(state: EngineState, nowMs: number): void {
    const hasRestarted = this.hasLostArtifacts(state);
    const hasNewFencing = state.fencing !== this.lastState?.fencing;
    if (hasNewFencing || hasRestarted) this.fencedAtMs = nowMs;
    this.lastState = state;
    this.stateReadAtMs = this.callStartedAtMs ?? -Infinity;
    this.isDown = false;
    this.isLoadSent = false;
    this.callStartedAtMs = undefined;
  }

  /**
   * Ends a call that leaves the state of the engine unknown and makes the next
   * read due at once.
   */
  recordCallEnd(isDown: boolean): void {
    this.callStartedAtMs = undefined;
    this.stateReadAtMs = -Infinity;
    this.nextReadAtMs = -Infinity;
    this.isDown = isDown;
  }

  isFresh(nowMs: number, maxAgeMs: number): boolean {
    return (
      this.callStartedAtMs === undefined &&
      nowMs - this.stateReadAtMs <= maxAgeMs
    );
  }

  /** Whether no command with a lower fencing token can take effect any more. */
  isFenced(fencing: number, commandDelayMs: number): boolean {
    if (this.lastState?.fencing !== fencing) return false;
    return (
      this.desired.checksFencing ||
      this.stateReadAtMs - this.fencedAtMs >= commandDelayMs
    );
  }

  isServing(): boolean {
    return this.getArtifacts().some(
      ({kind, name, ready}) =>
        kind === EngineCommandKind.LOAD_MODEL &&
        name === this.desired.model &&
        ready,
    );
  }

  isLoading(): boolean {
    return this.isLoadSent || this.getArtifacts().some(({ready}) => !ready);
  }

  /** Finds the first desired artifact that is neither held nor loading. */
  findMissingArtifact(): DesiredArtifact | undefined {
    return this.desired.loads.find(
      desired =>
        !this.getArtifacts().some(
          ({kind, name, version}) =>
            kind === desired.kind &&
            name === desired.name &&
            version === desired.version,
        ),
    );
  }

  isConverged(fencing: number): boolean {
    const {lastState, desired} = this;
    return (
      lastState !== undefined &&
      !this.isDown &&
      lastState.fencing === fencing &&
      lastState.role === desired.role &&
      this.findMissingArtifact() === undefined &&
      !this.isLoading()
    );
  }

  /** Whether artifacts are gone, which shows a restart between two reads. */
  private hasLostArtifacts(state: EngineState): boolean {
    return this.getArtifacts().some(
      previous =>
        !state.loads.some(
          ({kind, name, version}) =>
            kind === previous.kind &&
            name === previous.name &&
            version === previous.version,
        ),
    );
  }

  private getArtifacts() {
    return this.lastState?.loads ?? [];
  }
}
