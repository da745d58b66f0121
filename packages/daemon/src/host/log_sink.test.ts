import {expect} from 'chai';
import {LogSink} from './log_sink.js';

const LINE = 'x'.repeat(1_000);

/** Standard output whose writes complete only when the test calls `accept`. */
class SlowReader {
  readonly received: string[] = [];
  private pendingWrite:
    | {
        bytes: Buffer;
        done: (error: NodeJS.ErrnoException | null, written: number) => void;
      }
    | undefined;

  readonly write = (
    bytes: Buffer,
    done: (error: NodeJS.ErrnoException | null, written: number) => void,
  ): void => {
    this.pendingWrite = {bytes, done};
  };

  /** Completes the pending write, in part if it exceeds `maxBytes`. */
  accept(maxBytes = Infinity): void {
    const {pendingWrite} = this;
    if (pendingWrite === undefined) throw new Error('no write is pending');
    this.pendingWrite = undefined;
    const accepted = pendingWrite.bytes.subarray(0, maxBytes);
    this.received.push(accepted.toString());
    pendingWrite.done(null, accepted.length);
  }

  fail(code: string): void {
    const {pendingWrite} = this;
    this.pendingWrite = undefined;
    pendingWrite?.done(Object.assign(new Error(code), {code}), 0);
  }

  get lines(): string[] {
    return this.received.join('').split('\n').slice(0, -1);
  }
}

describe('LogSink', () => {
  let nowMs = 0;
  const clock = {nowMs: (): number => nowMs, wallMs: (): number => nowMs};

  beforeEach(() => {
    nowMs = 0;
  });

  it('buffers at most 1 MiB for a reader that reads nothing, and counts dropped lines', () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    for (let at = 0; at < 2_000; at++) sink.write(LINE, true);
    // One line is being written; the buffer behind it holds 1,048,576 bytes.
    const kept = 1 + Math.floor(1_048_576 / 1_001);
    expect(sink.dropped).to.be.within(2_000 - kept, 2_000 - kept + 2);
    const {dropped} = sink;
    reader.accept();
    reader.accept();
    expect(reader.lines).to.have.length(2_000 - dropped);
    sink.write('later', true);
    reader.accept();
    expect(reader.lines.at(-1)).to.equal('later');
    expect(sink.dropped).to.equal(dropped);
  });

  it('resumes a partial write within a line', () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    sink.write('first', false);
    sink.write('second', false);
    reader.accept(3);
    reader.accept();
    reader.accept(2);
    reader.accept();
    expect(reader.lines).to.deep.equal(['first', 'second']);
  });

  it('retries a write to a full pipe without losing lines', async () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    sink.write('first', false);
    reader.fail('EAGAIN');
    await new Promise(resolve => setTimeout(resolve, 20));
    reader.accept();
    expect(reader.lines).to.deep.equal(['first']);
    expect(sink.dropped).to.equal(0);
  });

  it('continues writing after the pipe is closed (EPIPE)', () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    sink.write('lost', false);
    reader.fail('EPIPE');
    sink.write('next', false);
    reader.accept();
    expect(reader.lines).to.deep.equal(['next']);
  });

  it('drops lines above the rate limit, except warnings', () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    for (let at = 0; at < 2_500; at++) sink.write('info', false);
    expect(sink.dropped).to.equal(500);
    sink.write('warning', true);
    expect(sink.dropped).to.equal(500);
    nowMs += 1_000;
    for (let at = 0; at < 500; at++) sink.write('info', false);
    expect(sink.dropped).to.equal(600);
  });
});
