import type {EngineStream} from './engine_stream.js';
import type {StreamMemory} from './stream_memory.js';
import {StreamQueue} from './stream_queue.js';

/** The running batch of an engine and the streams that wait for it. */
export class StreamBatch {
  private readonly running = new StreamQueue();
  private readonly waiting = new StreamQueue();

  constructor(
    private readonly maxRunning: number,
    private readonly memory: StreamMemory,
  ) {}

  /** Number of streams in the running batch. */
  get runningSize(): number {
    return this.running.size;
  }

  /** Number of streams that wait. */
  get waitingSize(): number {
    return this.waiting.size;
  }

  /** The running batch, first to be served first. */
  listRunning(): readonly EngineStream[] {
    return this.running.list();
  }

  /** Lets a stream wait. */
  add(stream: EngineStream): void {
    this.waiting.add(stream);
  }

  /** Removes a stream. */
  remove(stream: EngineStream): void {
    if (!this.waiting.remove(stream)) this.running.remove(stream);
  }

  /** Moves a stream to the place of another priority. */
  setPriority(stream: EngineStream, priority: number): void {
    const queue = this.waiting.remove(stream) ? this.waiting : this.running;
    queue.remove(stream);
    stream.priority = priority;
    queue.add(stream);
  }

  /** Starts waiting streams, in their order, as long as there is room. */
  startWaiting(): void {
    while (this.running.size < this.maxRunning) {
      const stream = this.waiting.first();
      if (!stream || !this.memory.allocate(stream)) return;
      this.waiting.remove(stream);
      this.running.add(stream);
    }
  }
}
