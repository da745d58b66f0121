import {expect} from 'chai';
import fc from 'fast-check';
import {
  decodeEntry,
  encodeEntry,
  HybridClock,
  mergeTimelines,
  Timeline,
  TimelineEventName,
} from './index.js';

const {REQUEST_RECEIVED, REQUEST_ANSWERED, HOST_STARTED} = TimelineEventName;

describe('timeline', () => {
  it('returns the fields of an event and the host that recorded it', () => {
    const timeline = buildTimeline('entry-1');
    timeline.record(REQUEST_RECEIVED, 1000, 'r-1', {
      account: 'team-a',
      promptTokens: 12,
    });
    const [entry] = timeline.read();
    expect(entry).to.eql({
      timeMs: 1000,
      counter: 0,
      host: 'entry-1',
      incarnation: '1-entry-1',
      sequence: 1,
      name: 'request_received',
      requestId: 'r-1',
      fields: {account: 'team-a', promptTokens: '12'},
    });
    expect(entry && decodeEntry(encodeEntry(entry))).to.eql(entry);
  });

  it('omits unknown fields and truncates long values', () => {
    const timeline = buildTimeline('entry-1');
    const fields = {prompt: 'secret', model: 'x'.repeat(1000)};
    timeline.record(REQUEST_RECEIVED, 1, 'r-1', fields);
    expect(timeline.read()[0]?.fields).to.eql({model: 'x'.repeat(64)});
  });

  it('evicts the oldest events beyond maxEvents and maxBytes', () => {
    const limitedByCount = buildTimeline('entry-1', 3);
    for (let i = 1; i <= 10; i++) limitedByCount.record(HOST_STARTED, i);
    expect(limitedByCount.read().map(entry => entry.sequence)).to.eql([
      8, 9, 10,
    ]);
    const limitedByBytes = buildTimeline('entry-1', 1000, 1000);
    for (let i = 1; i <= 100; i++) limitedByBytes.record(HOST_STARTED, i, 'r');
    expect(limitedByBytes.bufferedBytes).to.be.at.most(1000);
    expect(limitedByBytes.read().at(-1)?.sequence).to.equal(100);
  });

  it('filters by request and time and limits the number of events', () => {
    const timeline = buildTimeline('entry-1');
    for (let i = 1; i <= 6; i++) {
      timeline.record(REQUEST_ANSWERED, i, i % 2 === 0 ? 'even' : 'odd');
    }
    const readTimes = (query: Parameters<Timeline['read']>[0]) =>
      timeline.read(query).map(entry => entry.timeMs);
    expect(readTimes({requestId: 'even'})).to.eql([2, 4, 6]);
    expect(readTimes({afterMs: 2, limit: 2})).to.eql([3, 4]);
    expect(readTimes({limit: 2})).to.eql([5, 6]);
    expect(readTimes({limit: 0})).to.eql([]);
  });

  it('orders causes before effects when host clocks differ', () => {
    const messageLists = fc.array(
      fc.record({
        from: fc.nat({max: 2}),
        to: fc.nat({max: 2}),
        elapsedMs: fc.nat({max: 3}),
      }),
      {maxLength: 100},
    );
    const skews = fc.tuple(...[0, 1, 2].map(() => fc.nat({max: 5000})));
    const property = fc.property(messageLists, skews, (messages, skewsMs) => {
      const hosts = ['a', 'b', 'c'].map(name => buildTimeline(name));
      const expected: string[][] = [];
      let nowMs = 10_000;
      for (const {from, to, elapsedMs} of messages) {
        nowMs += elapsedMs;
        const [sender, receiver] = [hosts[from]!, hosts[to]!];
        const id = String(expected.length);
        sender.record(REQUEST_RECEIVED, nowMs + skewsMs[from]!, id);
        const stamp = sender.stamp(nowMs + skewsMs[from]!);
        expect(receiver.observe(stamp, nowMs + skewsMs[to]!)).to.equal(true);
        receiver.record(REQUEST_ANSWERED, nowMs + skewsMs[to]!, id);
        expected.push([REQUEST_RECEIVED, REQUEST_ANSWERED]);
      }
      const merged = mergeTimelines(hosts.map(host => host.read()));
      const actual = expected.map((_, i) =>
        merged.filter(e => e.requestId === String(i)).map(e => e.name),
      );
      expect(actual).to.eql(expected);
    });
    fc.assert(property, {seed: 1, numRuns: 100});
  });

  it('orders ties by host and sequence, whatever the order of pages', () => {
    const pages = ['b', 'a'].map(name => {
      const timeline = buildTimeline(name);
      timeline.record(HOST_STARTED, 5);
      timeline.record(REQUEST_RECEIVED, 5);
      return timeline.read();
    });
    const merged = mergeTimelines(pages);
    expect(merged.map(e => [e.host, e.sequence])).to.eql([
      ['a', 1],
      ['b', 1],
      ['a', 2],
      ['b', 2],
    ]);
    expect(mergeTimelines([...pages].reverse())).to.eql(merged);
    expect(mergeTimelines([...pages, ...pages])).to.eql(merged);
  });

  it('never goes back and ignores clocks that are far ahead', () => {
    const clock = new HybridClock();
    clock.tick(1000);
    expect(clock.tick(500)).to.eql({wallMs: 1000, counter: 1});
    const farAhead = {wallMs: 100_000_000, counter: 0};
    expect(clock.observe(farAhead, 1000)).to.equal(false);
    expect(clock.tick(1001)).to.eql({wallMs: 1001, counter: 0});
    clock.observe({wallMs: 1001, counter: 0xffff}, 1001);
    expect(clock.tick(1001)).to.eql({wallMs: 1002, counter: 0});
  });
});

function buildTimeline(
  host: string,
  maxEvents = 1000,
  maxBytes = 1e6,
): Timeline {
  return new Timeline({self: {host, id: `1-${host}`}, maxEvents, maxBytes});
}
