import type {EngineStream} from './engine_stream.js';

/** Streams in order of priority, then of arrival. */
export class StreamQueue {
  private streams: EngineStream[] = [];

  /** Number of streams. */
  get size(): number {
    return this.streams.length;
  }

  /** The streams, first to be served first. */
  list(): readonly EngineStream[] {
    return this.streams;
  }

  /** The stream to be served first. */
  first(): EngineStream | undefined {
    return this.streams[0];
  }

  /** Adds a stream at its place. */
  add(stream: EngineStream): void {
    let index = this.streams.length;
    while (index > 0 && isBefore(stream, this.streams[index - 1])) index--;
    this.streams.splice(index, 0, stream);
  }

  /** Removes a stream; false when it is not there. */
  remove(stream: EngineStream): boolean {
    const index = this.streams.indexOf(stream);
    if (index < 0) return false;
    this.streams.splice(index, 1);
    return true;
  }
}

function isBefore(a: EngineStream, b: EngineStream | undefined): boolean {
  if (!b) return false;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.arrival < b.arrival;
}
