import {expect} from 'chai';
import fc from 'fast-check';
import {EventCursor} from './event_cursor.js';
import {ResumeObstacle} from './resume_obstacle.js';
import {drawStreams} from './testing/draw_streams.js';
import type {DrawnStream} from './testing/drawn_stream.js';

const MAX_RUNS = 12;

/** What an upstream sends when it is asked to go on after an id, or from the start. */
type Upstream = (afterId: string | undefined) => readonly string[];

/** What the caller got, and all ids that upstreams were told. */
interface Outcome {
  readonly body: string;
  readonly isWhole: boolean;
  readonly toldIds: readonly string[];
}

/**
 * Relays a stream as a host does: each run but the last breaks off after so many
 * bytes, and comes in chunks of so many.
 */
function relay(
  upstreams: readonly Upstream[],
  breaks: readonly number[],
  chunkBytes: number,
  callerId?: string,
): Outcome {
  const cursor = new EventCursor(callerId);
  const toldIds: string[] = [];
  let body = '';
  for (let run = 0; run < MAX_RUNS; run++) {
    if (run > 0) {
      if (cursor.resumeObstacle !== undefined) break;
      cursor.resume();
    }
    const afterId = cursor.lastId ?? callerId;
    if (afterId !== undefined) toldIds.push(afterId);
    const upstream = upstreams[run % upstreams.length];
    const bytes = Buffer.from((upstream?.(afterId) ?? []).join(''), 'latin1');
    const breakAt = breaks[run] ?? bytes.length;
    const arrived = bytes.subarray(0, breakAt);
    for (let at = 0; at < arrived.length; at += chunkBytes) {
      const chunk = arrived.subarray(at, at + chunkBytes);
      body += cursor.append(chunk).toString('latin1');
      if (cursor.hasFault) break;
    }
    if (cursor.hasFault || breakAt < bytes.length) continue;
    body += cursor.finish().toString('latin1');
    if (cursor.hasPartialEvent || cursor.isRepeating) continue;
    return {body, isWhole: true, toldIds};
  }
  return {body, isWhole: false, toldIds};
}

function goOn({ids, events}: DrawnStream, overlap = 0): Upstream {
  return afterId => {
    const last = afterId === undefined ? -1 : ids.indexOf(afterId);
    return events.slice(Math.max(0, last + 1 - overlap));
  };
}

function startOver({events}: DrawnStream): Upstream {
  return () => events;
}

/** Whether a body is the beginning of a run, up to the end of one of its events. */
function isBeginning(body: string, {events}: DrawnStream): boolean {
  const ends = events.map((_, at) => events.slice(0, at + 1).join(''));
  return body === '' || ends.includes(body);
}

const BREAKS = fc.array(fc.nat(120), {maxLength: 5});
const CHUNK_BYTES = fc.integer({min: 1, max: 40});

describe('Streams that are resumed', () => {
  // Ids that differ as texts only were one id, and events behind the first were dropped.
  it('are whole, and upstreams are told only ids that came, as they came', () => {
    fc.assert(
      fc.property(
        drawStreams('a'),
        BREAKS,
        CHUNK_BYTES,
        fc.nat(3),
        (stream, breaks, chunkBytes, overlap) => {
          const upstream = goOn(stream, overlap);
          const outcome = relay([upstream], breaks, chunkBytes);
          expect(outcome.body).to.equal(stream.events.join(''));
          expect(outcome.isWhole).to.equal(true);
          expect(stream.ids).to.include.members(outcome.toldIds);
        },
      ),
      {seed: 1, numRuns: 2_000},
    );
  });

  it('are whole where the upstream starts over with the same bytes', () => {
    fc.assert(
      fc.property(
        drawStreams('a'),
        BREAKS,
        CHUNK_BYTES,
        (stream, breaks, chunkBytes) => {
          const outcome = relay([startOver(stream)], breaks, chunkBytes);
          expect(outcome.body).to.equal(stream.events.join(''));
          expect(outcome.isWhole).to.equal(true);
        },
      ),
      {seed: 2, numRuns: 1_000},
    );
  });

  // Events of the second run were taken for repeated ones by their ids alone.
  it('are broken off where the upstream starts over with other events', () => {
    fc.assert(
      fc.property(
        drawStreams('a'),
        drawStreams('b'),
        fc.integer({min: 1, max: 200}),
        CHUNK_BYTES,
        (first, {events}, breakAt, chunkBytes) => {
          const second = {ids: first.ids, events: relabel(events, first)};
          const runs = [startOver(first), startOver(second)];
          const {body, isWhole} = relay(runs, [breakAt], chunkBytes);
          const run = [first, second].find(one => isBeginning(body, one));
          expect(run, JSON.stringify(body)).not.to.equal(undefined);
          if (isWhole) expect(body).to.equal(run?.events.join(''));
        },
      ),
      {seed: 3, numRuns: 1_000},
    );
  });

  const PLACELESS: Record<string, [string[], ResumeObstacle]> = {
    'no ids': [['data: a\n\n', 'data: b\n\n'], ResumeObstacle.NO_ID],
    'a last event without an id': [
      ['id: 1\ndata: a\n\n', 'data: b\n\n'],
      ResumeObstacle.NO_ID,
    ],
    'an id that is taken back': [
      ['id: 1\ndata: a\n\n', 'id\ndata: b\n\n'],
      ResumeObstacle.NO_ID,
    ],
    'one id for all': [
      ['id: 1\ndata: a\n\n', 'id: 1\ndata: b\n\n'],
      ResumeObstacle.REPEATED_ID,
    ],
    'an id with blanks at its ends': [
      ['id:  1 \ndata: a\n\n'],
      ResumeObstacle.UNTELLABLE_ID,
    ],
    'an id with a control character': [
      ['id: 1\u0001\ndata: a\n\n'],
      ResumeObstacle.UNTELLABLE_ID,
    ],
    'an id too long for a header': [
      [`id: ${'1'.repeat(5_000)}\ndata: a\n\n`],
      ResumeObstacle.UNTELLABLE_ID,
    ],
  };
  // Such streams were run anew from their start, and two runs joined.
  for (const [name, [events, obstacle]] of Object.entries(PLACELESS)) {
    it(`are passed on and cannot be resumed with ${name}`, () => {
      const cursor = new EventCursor();
      const text = events.join('');
      expect(cursor.append(Buffer.from(text)).toString()).to.equal(text);
      expect(cursor.resumeObstacle).to.equal(obstacle);
    });
  }

  it('can be resumed again once an event has an id that can be told', () => {
    const cursor = new EventCursor();
    cursor.append(Buffer.from('data: a\n\nid:  1\ndata: b\n\n'));
    expect(cursor.resumeObstacle).to.equal(ResumeObstacle.UNTELLABLE_ID);
    cursor.append(Buffer.from('id: 2\ndata: c\n\n'));
    expect([cursor.resumeObstacle, cursor.lastId]).to.deep.equal([
      undefined,
      '2',
    ]);
  });

  it('go on after what the caller has, and never back to it', () => {
    fc.assert(
      fc.property(
        drawStreams('a'),
        fc.nat(7),
        BREAKS,
        CHUNK_BYTES,
        (stream, place, breaks, chunkBytes) => {
          const at = place % stream.ids.length;
          const callerId = stream.ids[at];
          const upstream = goOn(stream);
          const outcome = relay([upstream], breaks, chunkBytes, callerId);
          const rest = stream.events.slice(at + 1).join('');
          expect(outcome.body).to.equal(rest);
          expect(outcome.isWhole).to.equal(true);
          expect(stream.ids).to.include.members(outcome.toldIds);
        },
      ),
      {seed: 4, numRuns: 1_000},
    );
  });

  it('of a caller that resumes are broken off where a second upstream starts over', () => {
    for (const callerId of ['9', '9007199254740993']) {
      const [first, second] = [1n, 2n].map(step => BigInt(callerId) + step);
      const cursor = new EventCursor(callerId);
      cursor.append(Buffer.from(`id: ${first}\ndata: x\n\n`));
      for (const id of ['1', callerId]) {
        cursor.resume();
        const event = Buffer.from(`id: ${id}\ndata: y\n\n`);
        expect(cursor.append(event)).to.have.length(0);
        expect(cursor.hasFault).to.equal(true);
      }
      cursor.resume();
      const next = `id: ${second}\ndata: z\n\n`;
      expect(cursor.append(Buffer.from(next)).toString()).to.equal(next);
    }
  });

  // A history of seed 4, in which counts do not increase.
  it('of a caller that resumes are broken off where a count goes back', () => {
    const cursor = new EventCursor('0');
    const first = 'id: 6\ndata: x\n\n';
    expect(cursor.append(Buffer.from(first)).toString()).to.equal(first);
    cursor.resume();
    expect(cursor.lastId).to.equal('6');
    expect(cursor.append(Buffer.from('id: 2\ndata: y\n\n'))).to.have.length(0);
    expect(cursor.hasFault).to.equal(true);
  });

  it('are not whole while events are repeated that the caller has', () => {
    const cursor = new EventCursor();
    cursor.append(Buffer.from('id: a\ndata: 1\n\nid: b\ndata: 2\n\n'));
    cursor.resume();
    cursor.append(Buffer.from('id: a\ndata: 1\n\n'));
    expect([cursor.hasPartialEvent, cursor.isRepeating]).to.deep.equal([
      false,
      true,
    ]);
  });

  it('have a byte order mark at their start alone', () => {
    const mark = '\uFEFF';
    const cursor = new EventCursor();
    const [first, second] = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'];
    const before = Buffer.from(`${mark}${first}`);
    expect(cursor.append(before)).to.deep.equal(before);
    cursor.resume();
    expect(cursor.lastId).to.equal('1');
    const after = Buffer.from(`${mark}${first}${second}`);
    expect(cursor.append(after).toString()).to.equal(second);
  });
});

/** Gives the events of one run the ids of another. */
function relabel(
  events: readonly string[],
  {ids}: DrawnStream,
): readonly string[] {
  return events
    .slice(0, ids.length)
    .map((_, at) => `id: ${ids[at] ?? ''}\ndata: b ${at}\n\n`);
}
