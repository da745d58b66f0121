import {expect} from 'chai';
import {LogSink} from './log_sink.js';

const LINE = 'x'.repeat(1_000);

/** A reader that takes bytes only when the test says so. */
class SlowReader {
  readonly taken: string[] = [];
  private held:
    | {
        bytes: Buffer;
        done: (error: NodeJS.ErrnoException | null, written: number) => void;
      }
    | undefined;

  readonly write = (
    bytes: Buffer,
    done: (error: NodeJS.ErrnoException | null, written: number) => void,
  ): void => {
    this.held = {bytes, done};
  };

  /** Takes some of what waits; nothing more is written until then. */
  take(most = Infinity): void {
    const {held} = this;
    if (held === undefined) throw new Error('nothing waits');
    this.held = undefined;
    const part = held.bytes.subarray(0, most);
    this.taken.push(part.toString());
    held.done(null, part.length);
  }

  fail(code: string): void {
    const {held} = this;
    this.held = undefined;
    held?.done(Object.assign(new Error(code), {code}), 0);
  }

  get lines(): string[] {
    return this.taken.join('').split('\n').slice(0, -1);
  }
}

describe('LogSink', () => {
  let nowMs = 0;
  const clock = {nowMs: (): number => nowMs, wallMs: (): number => nowMs};

  beforeEach(() => {
    nowMs = 0;
  });

  it('keeps at most a MiB for a reader that takes nothing, and counts the rest', () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    for (let at = 0; at < 2_000; at++) sink.write(LINE, true);
    // One write is under way; what waits behind it fits into 1,048,576 bytes.
    const kept = 1 + Math.floor(1_048_576 / 1_001);
    expect(sink.dropped).to.be.within(2_000 - kept, 2_000 - kept + 2);
    const {dropped} = sink;
    reader.take();
    reader.take();
    expect(reader.lines).to.have.length(2_000 - dropped);
    sink.write('later', true);
    reader.take();
    expect(reader.lines.at(-1)).to.equal('later');
    expect(sink.dropped).to.equal(dropped);
  });

  it('goes on where a reader stopped within a line', () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    sink.write('first', false);
    sink.write('second', false);
    reader.take(3);
    reader.take();
    reader.take(2);
    reader.take();
    expect(reader.lines).to.deep.equal(['first', 'second']);
  });

  it('tries a full pipe again without a loss', async () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    sink.write('first', false);
    reader.fail('EAGAIN');
    await new Promise(resolve => setTimeout(resolve, 20));
    reader.take();
    expect(reader.lines).to.deep.equal(['first']);
    expect(sink.dropped).to.equal(0);
  });

  it('goes on after its reader has left', () => {
    const reader = new SlowReader();
    const sink = new LogSink(reader.write, clock);
    sink.write('lost', false);
    reader.fail('EPIPE');
    sink.write('next', false);
    reader.take();
    expect(reader.lines).to.deep.equal(['next']);
  });

  it('drops lines beyond its rate, but not warnings', () => {
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
