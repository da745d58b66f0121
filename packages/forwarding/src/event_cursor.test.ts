import {expect} from 'chai';
import fc from 'fast-check';
import {EventCursor} from './event_cursor.js';

const CHUNKS = 50_000;
/** After half a second of silence the users' rules count a call as late. */
const MAX_BLOCK_MS = 500;

function makeEvent(id: number, lineEnd = '\n'): string {
  return `id: ${id}${lineEnd}data: text ${id}${lineEnd}${lineEnd}`;
}

function makeEvents(from: number, to: number): string {
  let text = '';
  for (let id = from; id <= to; id++) text += makeEvent(id);
  return text;
}

function readChunks(
  cursor: EventCursor,
  text: string,
  splitPoints: number[],
): string {
  let returned = '';
  let from = 0;
  const bytes = Buffer.from(text);
  const ends = splitPoints
    .map(point => point % (bytes.length + 1))
    .sort((a, b) => a - b);
  for (const end of [...ends, bytes.length]) {
    returned += cursor.append(bytes.subarray(from, end)).toString();
    from = end;
  }
  return returned;
}

describe('EventCursor', () => {
  it('returns each event once and complete, however the bytes are split into chunks', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 12}),
        fc.array(fc.nat(), {maxLength: 9}),
        (count, splitPoints) => {
          const text = makeEvents(1, count);
          expect(readChunks(new EventCursor(), text, splitPoints)).to.equal(
            text,
          );
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });

  // Guards against hosts that are blocked for seconds, with all that they serve.
  it('reads an event in 50,000 chunks within half a second', () => {
    const cursor = new EventCursor();
    const line = Buffer.from('data: x\n');
    const before = process.cpuUsage();
    for (let count = 0; count < CHUNKS; count++) cursor.append(line);
    const {user} = process.cpuUsage(before);
    expect(user / 1_000).to.be.below(MAX_BLOCK_MS);
    expect(cursor.append(Buffer.from('\n'))).to.have.length(
      CHUNKS * line.length + 1,
    );
  }).timeout(60_000);

  it('goes on with an event that ends between two bytes of its blank line', () => {
    for (const event of ['data: a\n\n', 'data: a\r\n\r\n', 'data: a\n\r\n']) {
      for (let split = 1; split < event.length; split++) {
        const earlier = new EventCursor();
        earlier.append(Buffer.from(event.slice(0, split)));
        const cursor = new EventCursor();
        cursor.restore(earlier.partialEvent);
        const rest = cursor.append(Buffer.from(event.slice(split)));
        expect(rest.toString()).to.equal(event);
        expect(cursor.hasPartialEvent).to.equal(false);
      }
    }
  });

  it('resumes after a break without missing, repeated or partial events', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 12}),
        fc.nat(),
        fc.nat(),
        fc.array(fc.nat(), {maxLength: 5}),
        (count, breakPoint, overlap, splitPoints) => {
          const whole = makeEvents(1, count);
          const breakAt = breakPoint % whole.length;
          const cursor = new EventCursor();
          const first = readChunks(
            cursor,
            whole.slice(0, breakAt),
            splitPoints,
          );
          cursor.resume();
          const last = Number(cursor.lastId ?? 0);
          // The second upstream may repeat some events before the resume
          // position.
          const from = Math.max(1, last + 1 - (overlap % 3));
          const second = readChunks(
            cursor,
            makeEvents(from, count),
            splitPoints,
          );
          expect(first + second).to.equal(whole);
        },
      ),
      {seed: 2, numRuns: 300},
    );
  });

  // The host has passed on nothing that it could tell a repetition by.
  it('returns all that the first upstream sends to a caller that resumes', () => {
    const cursor = new EventCursor('2');
    const text = makeEvents(1, 4);
    expect(cursor.append(Buffer.from(text)).toString()).to.equal(text);
    expect([cursor.count, cursor.lastId]).to.deep.equal([4, '4']);
  });

  it('accepts lines that end with carriage return and line feed', () => {
    const cursor = new EventCursor();
    const text = makeEvent(1, '\r\n') + makeEvent(2, '\r\n');
    expect(cursor.append(Buffer.from(text))?.toString()).to.equal(text);
    expect(cursor.hasPartialEvent).to.equal(false);
  });

  // A stream whose lines end with a carriage return came to callers as an empty one.
  it('returns each event as soon as its blank line is there, with all line ends', () => {
    for (const end of ['\n', '\r', '\r\n']) {
      const [first, second] = [makeEvent(1, end), makeEvent(2, end)];
      const cursor = new EventCursor();
      for (const event of [first, second]) {
        expect(cursor.append(Buffer.from(event)).toString()).to.equal(event);
        expect(cursor.hasPartialEvent).to.equal(false);
      }
    }
  });

  it('returns all events of a whole stream, however their lines end', () => {
    const lineEnd = fc.constantFrom('\n', '\r', '\r\n');
    fc.assert(
      fc.property(
        fc.array(fc.tuple(lineEnd, lineEnd, lineEnd), {maxLength: 6}),
        fc.array(fc.nat(), {maxLength: 9}),
        (drawn, splitPoints) => {
          const text = drawn
            // A return and a line feed are one line end.
            .filter(([, b, c]) => b + c !== '\r\n')
            .map(([a, b, c], at) => `id: ${at}${a}data: x${b}${c}`)
            .join('');
          const cursor = new EventCursor();
          const body = readChunks(cursor, text, splitPoints);
          const last = cursor.finish().toString();
          expect(body + last).to.equal(text);
          expect(cursor.hasPartialEvent).to.equal(false);
        },
      ),
      {seed: 3, numRuns: 500},
    );
  });

  it('takes a blank line more for the end of no event', () => {
    const cursor = new EventCursor();
    const text = `${makeEvent(1)}\n`;
    expect(cursor.append(Buffer.from(text)).toString()).to.equal(text);
    expect(cursor.hasPartialEvent).to.equal(false);
  });

  it('reports a stream that stopped inside an event', () => {
    const cursor = new EventCursor();
    cursor.append(Buffer.from(`${makeEvent(1)}id: 2\nda`));
    expect(cursor.hasPartialEvent).to.equal(true);
  });

  it('finds a fault when an event exceeds the maximum length', () => {
    const cursor = new EventCursor();
    expect(cursor.append(Buffer.alloc(1_048_576, 'x'))).to.have.length(0);
    expect(cursor.hasFault).to.equal(false);
    expect(cursor.append(Buffer.from('x'))).to.have.length(0);
    expect(cursor.hasFault).to.equal(true);
    const large = new EventCursor();
    expect(large.append(Buffer.alloc(2_000_000, 'x'))).to.have.length(0);
    expect(large.hasFault).to.equal(true);
  });

  const FOREIGN_BYTES = [
    'HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n',
    'HTTP/1.1 200 OK\n\n',
    'upstream failed\n\n',
    '{"error"}\n\n',
  ];
  for (const foreign of FOREIGN_BYTES) {
    it(`returns the events before bytes that are none, and not those: ${JSON.stringify(foreign)}`, () => {
      const cursor = new EventCursor();
      const text = `${makeEvents(1, 2)}${foreign}${makeEvent(3)}`;
      expect(cursor.append(Buffer.from(text)).toString()).to.equal(
        makeEvents(1, 2),
      );
      expect([cursor.hasFault, cursor.lastId]).to.deep.equal([true, '2']);
      cursor.resume();
      expect(cursor.append(Buffer.from(makeEvent(3))).toString()).to.equal(
        makeEvent(3),
      );
      expect(cursor.hasFault).to.equal(false);
    });
  }

  it('takes events without an id only before a stream is resumed', () => {
    const cursor = new EventCursor();
    const plain = 'data: no id\n\n';
    const comment = ': still here\n\n';
    const first = `${plain}${comment}${makeEvent(1)}`;
    expect(cursor.append(Buffer.from(first)).toString()).to.equal(first);
    cursor.resume();
    expect(cursor.append(Buffer.from(comment)).toString()).to.equal(comment);
    expect(cursor.append(Buffer.from(plain))).to.have.length(0);
    expect(cursor.hasFault).to.equal(true);
  });
});
