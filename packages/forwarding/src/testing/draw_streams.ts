import fc from 'fast-check';
import type {DrawnStream} from './drawn_stream.js';

const LINE_ENDS = ['\n', '\r\n', '\r'];
const MAX_EVENTS = 8;

/** Ids that increase, as services make them. */
const INCREASING: ((first: number) => (at: number) => string)[] = [
  first => at => String(first + at),
  first => at => String(2n ** 53n + BigInt(first + at)),
  first => at => String(2n ** 64n * BigInt(first + 1) + BigInt(at)),
  first => at => String(first + at).padStart(12, '0'),
  first => at => `1796663986704-${first + at}`,
  first => at => `${first}e${at}`,
  first => at => `+${first + at}`,
  first => at => `a b,${first}:é=${'x'.repeat(at)}`,
];
/** Texts without an order; ids that are counts increase. */
const TEXT = fc
  .string({unit: fc.constantFrom(...'0123456789aZ-:,; é'), maxLength: 6})
  .filter(text => text.trim() === text && /\D/.test(text));
const IDS = fc.oneof(
  fc
    .tuple(fc.constantFrom(...INCREASING), fc.nat(99))
    .map(([make, first]) =>
      Array.from({length: MAX_EVENTS}, (_, at) => make(first)(at)),
    ),
  fc.uniqueArray(TEXT, {minLength: MAX_EVENTS, maxLength: MAX_EVENTS}),
);

/** Lines of an event around its data, as several layouts write its id. */
const LAYOUTS: ((id: string, data: string) => string[])[] = [
  (id, data) => [`id: ${id}`, data],
  (id, data) => [data, `id: ${id}`],
  (id, data) => [`id:${id}`, 'event: token', data],
  (id, data) => ['id: 1', 'id', data, `id: ${id}`],
  (id, data) => [`id: ${id}`, data, 'id: nul\0', 'identity: 3'],
  (id, data) => [': id: 7', data, 'data: id: 8', `id: ${id}`, 'retry: 9'],
];

/** Draws streams whose ids name their events; `data` tells one run from another. */
export function drawStreams(run: string): fc.Arbitrary<DrawnStream> {
  const layout = fc.constantFrom(...LAYOUTS);
  const lineEnd = fc.constantFrom(...LINE_ENDS);
  const layouts = fc.array(fc.tuple(layout, lineEnd), {
    minLength: 1,
    maxLength: MAX_EVENTS,
  });
  return fc.tuple(IDS, layouts).map(([ids, drawn]) => ({
    ids: ids.slice(0, drawn.length),
    events: drawn.map(([describe, end], at) =>
      [...describe(ids[at] ?? '', `data: ${run} ${at}`), '', ''].join(end),
    ),
  }));
}
