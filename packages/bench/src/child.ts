import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

/** A process that this one has started. */
export class Child {
  private readonly process: ChildProcess;
  private readonly exited: Promise<unknown>;

  /**
   * @param name Names the process in logs.
   * @param args Arguments of Node.js.
   * @param logs Directory for its log; standard error when absent.
   */
  constructor(
    readonly name: string,
    args: readonly string[],
    logs?: string,
  ) {
    // Its open standard input tells a stand-in that this process lives.
    this.process = spawn(process.execPath, args, {
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    this.process.stdin?.on('error', () => undefined);
    this.exited = once(this.process, 'exit');
    const log = logs
      ? createWriteStream(join(logs, `${name}.log`), {flags: 'a'})
      : process.stderr;
    for (const stream of [this.process.stdout, this.process.stderr]) {
      stream?.pipe(log, {end: false});
    }
  }

  /** Process id. */
  get pid(): number {
    return this.process.pid ?? 0;
  }

  /** Whether the process has ended. */
  get isOver(): boolean {
    return this.process.exitCode !== null || this.process.signalCode !== null;
  }

  /** Exit code, once the process has ended by itself. */
  get exitCode(): number | null {
    return this.process.exitCode;
  }

  /** Waits for the first line of standard output. */
  async readLine(): Promise<string> {
    const {stdout} = this.process;
    if (!stdout) throw new Error(`${this.name} has no standard output`);
    const lines = createInterface({input: stdout});
    const ended = this.exited.then(() => {
      throw new Error(`${this.name} ended before it was ready`);
    });
    const first = once(lines, 'line').then(([line]) => String(line));
    return Promise.race([first, ended]);
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.process.kill(signal);
  }

  /** Ends the process by force. */
  async kill(): Promise<void> {
    if (this.isOver) return;
    this.process.kill('SIGKILL');
    await this.exited;
  }

  /** Asks the process to end and ends it by force after a time. */
  async stop(waitMs: number): Promise<void> {
    if (this.isOver) return;
    this.process.kill('SIGTERM');
    const force = setTimeout(() => this.process.kill('SIGKILL'), waitMs);
    await this.exited;
    clearTimeout(force);
  }
}
