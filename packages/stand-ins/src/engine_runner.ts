import type {EngineAction} from './engine_action.js';
import {EngineActionKind} from './engine_action_kind.js';
import type {EngineConnection} from './engine_connection.js';
import type {EngineEvent} from './engine_event.js';
import {EngineEventKind} from './engine_event_kind.js';
import type {EngineFaults} from './engine_faults.js';
import {EngineModel} from './engine_model.js';
import type {EngineOptions} from './engine_options.js';
import type {EngineRefusal} from './engine_refusal.js';
import type {EngineSubmission} from './engine_submission.js';

const WORKING_INTERVAL_MS = 500;

/** Runs an engine model on the clock and writes what it computes. */
export class EngineRunner {
  model: EngineModel;
  faults: EngineFaults = {};
  frozenUntilMs = 0;

  private readonly connections = new Map<string, EngineConnection>();
  private readonly workingTimer: NodeJS.Timeout;
  private timer: NodeJS.Timeout | undefined;
  private immediate: NodeJS.Immediate | undefined;

  constructor(private readonly options: EngineOptions) {
    this.model = new EngineModel(options);
    this.workingTimer = setInterval(
      () => this.writeWorking(),
      WORKING_INTERVAL_MS / 2,
    );
  }

  /** Monotonic time, in milliseconds. */
  nowMs(): number {
    return performance.now();
  }

  /** Starts an attempt, or says why not. */
  submit(
    submission: EngineSubmission,
    connection: EngineConnection,
  ): EngineRefusal | undefined {
    const kind = EngineEventKind.SUBMIT;
    const nowMs = this.nowMs();
    const actions = this.model.handle({kind, submission}, nowMs);
    const last = actions.at(-1);
    if (last?.kind === EngineActionKind.REFUSE) {
      this.perform(actions.slice(0, -1));
      return last.refusal;
    }
    this.connections.set(submission.attempt, connection);
    connection.open(nowMs);
    this.perform(actions);
    return undefined;
  }

  /** Tells the model of an event and performs what follows. */
  handle(event: EngineEvent): void {
    this.perform(this.model.handle(event, this.nowMs()));
  }

  /** Ends an attempt on its caller's wish; false when it is unknown. */
  cancel(attempt: string): boolean {
    const known = this.model.has(attempt);
    this.handle({kind: EngineEventKind.CANCEL, attempt});
    this.connections.get(attempt)?.end();
    this.connections.delete(attempt);
    return known;
  }

  /** Sets faults. */
  setFaults(faults: EngineFaults): void {
    this.faults = {...this.faults, ...faults};
    if (faults.freezeMs !== undefined) {
      this.frozenUntilMs = this.nowMs() + faults.freezeMs;
      this.model.freeze(this.frozenUntilMs);
    }
    this.applyFaults();
    this.handle({kind: EngineEventKind.WAKE});
  }

  /** Loses all memory and cuts all connections. */
  reset(): void {
    for (const connection of this.connections.values()) connection.destroy();
    this.connections.clear();
    this.model = new EngineModel(this.options);
    this.applyFaults();
  }

  /** Ends the timers. */
  close(): void {
    clearInterval(this.workingTimer);
    this.clearWake();
  }

  private applyFaults(): void {
    this.model.slowFactor = this.faults.slowFactor ?? 1;
    this.model.leaving = this.faults.leaving ?? false;
  }

  private perform(actions: readonly EngineAction[]): void {
    const written = new Set<EngineConnection>();
    for (const action of actions) this.performOne(action, written);
    const nowMs = this.nowMs();
    for (const connection of written) connection.flush(nowMs);
    this.scheduleWake();
  }

  private performOne(
    action: EngineAction,
    written: Set<EngineConnection>,
  ): void {
    const {attempt} = action;
    const connection = this.connections.get(attempt);
    if (!connection) return;
    switch (action.kind) {
      case EngineActionKind.TOKEN: {
        const {position} = action;
        const text = connection.answer.token(position);
        this.send(connection, {attempt, position, text}, written);
        connection.tokens++;
        this.truncate(connection);
        break;
      }
      case EngineActionKind.FINISH: {
        const {position, finish, usage} = action;
        if (!this.faults.dropEndEvent) {
          this.send(connection, {attempt, position, finish, usage}, written);
        }
        this.endConnection(connection);
        break;
      }
      case EngineActionKind.EXPIRE:
        connection.add({attempt, error: {kind: 'time_limit'}});
        this.endConnection(connection);
        break;
      case EngineActionKind.REFUSE:
        break;
    }
  }

  private send(
    connection: EngineConnection,
    event: object,
    written: Set<EngineConnection>,
  ): void {
    const receivers = [connection];
    if (this.faults.duplicateEvents) receivers.push(connection);
    if (this.faults.crossAnswers) receivers.push(...this.findOther(connection));
    for (const receiver of receivers) {
      receiver.add(event);
      written.add(receiver);
    }
  }

  private findOther(connection: EngineConnection): EngineConnection[] {
    for (const other of this.connections.values()) {
      if (other !== connection) return [other];
    }
    return [];
  }

  private truncate(connection: EngineConnection): void {
    const {truncateAfter = 0} = this.faults;
    if (truncateAfter === 0 || connection.tokens < truncateAfter) return;
    const {attempt} = connection;
    this.endConnection(connection);
    const kind = EngineEventKind.CANCEL;
    setImmediate(() => this.handle({kind, attempt}));
  }

  private endConnection(connection: EngineConnection): void {
    connection.end();
    this.connections.delete(connection.attempt);
  }

  private writeWorking(): void {
    const nowMs = this.nowMs();
    if (nowMs < this.frozenUntilMs) return;
    for (const connection of this.connections.values()) {
      const silentMs = nowMs - connection.writtenAtMs;
      if (silentMs >= WORKING_INTERVAL_MS) connection.writeWorking(nowMs);
    }
  }

  private scheduleWake(): void {
    this.clearWake();
    const wakeAtMs = this.model.wakeAtMs();
    if (wakeAtMs === Infinity) return;
    const wake = () => this.handle({kind: EngineEventKind.WAKE});
    const delayMs = wakeAtMs - this.nowMs();
    // Timers have a resolution of one millisecond; faster steps poll.
    if (delayMs < 1) this.immediate = setImmediate(wake);
    else this.timer = setTimeout(wake, delayMs);
  }

  private clearWake(): void {
    clearTimeout(this.timer);
    if (this.immediate) clearImmediate(this.immediate);
  }
}
