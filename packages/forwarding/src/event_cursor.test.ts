import {expect} from 'chai';
import fc from 'fast-check';
import {EventCursor} from './event_cursor.js';

function event(id: number, lineEnd = '\n'): string {
  return `id: ${id}${lineEnd}data: text ${id}${lineEnd}${lineEnd}`;
}

function events(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id++) text += event(id);
  return text;
}

function feed(cursor: EventCursor, text: string, cuts: number[]): string {
  let passed = '';
  let from = 0;
  const bytes = Buffer.from(text);
  const ends = cuts.map(cut => cut % (bytes.length + 1)).sort((a, b) => a - b);
  for (const end of [...ends, bytes.length]) {
    passed += cursor.take(bytes.subarray(from, end))?.toString() ?? '';
    from = end;
  }
  return passed;
}

describe('EventCursor', () => {
  it('passes each event once and whole, however the bytes are cut', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 12}),
        fc.array(fc.nat(), {maxLength: 9}),
        (count, cuts) => {
          const text = events(1, count);
          expect(feed(new EventCursor(), text, cuts)).to.equal(text);
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });

  it('joins two runs without a gap, a repeat or a part of an event', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 12}),
        fc.nat(),
        fc.nat(),
        fc.array(fc.nat(), {maxLength: 5}),
        (count, brokenAt, overlap, cuts) => {
          const whole = events(1, count);
          const broken = brokenAt % whole.length;
          const cursor = new EventCursor();
          const first = feed(cursor, whole.slice(0, broken), cuts);
          cursor.dropPart();
          const last = cursor.lastId ?? 0;
          // An upstream may start some events early.
          const from = Math.max(1, last + 1 - (overlap % 3));
          const second = feed(cursor, events(from, count), cuts);
          expect(first + second).to.equal(whole);
        },
      ),
      {seed: 2, numRuns: 300},
    );
  });

  it('starts after the event that the caller holds', () => {
    const cursor = new EventCursor(2);
    expect(cursor.take(Buffer.from(events(1, 4)))?.toString()).to.equal(
      events(3, 4),
    );
    expect(cursor.count).to.equal(2);
  });

  it('takes lines that end in carriage return and line feed', () => {
    const cursor = new EventCursor();
    const text = event(1, '\r\n') + event(2, '\r\n');
    expect(cursor.take(Buffer.from(text))?.toString()).to.equal(text);
    expect(cursor.isInsideEvent).to.equal(false);
  });

  it('tells that the stream stopped inside an event', () => {
    const cursor = new EventCursor();
    cursor.take(Buffer.from(`${event(1)}id: 2\nda`));
    expect(cursor.isInsideEvent).to.equal(true);
  });

  it('gives up bytes that never end an event', () => {
    const cursor = new EventCursor();
    expect(cursor.take(Buffer.alloc(2_000_000, 'x'))).to.equal(undefined);
  });
});
