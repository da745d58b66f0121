/** Ids that increase; the first is that of the event before the first one. */
const IDS: readonly ((at: number) => string)[] = [
  at => String(at),
  at => String(1796663986704000000n + BigInt(at)),
  at => `1796663986704-${at}`,
  at => String(at).padStart(8, '0'),
  at => `${at}e3`,
];
const LINE_ENDS = ['\n', '\r\n', '\r'];

/** Events of answers, whose ids and layouts differ from call to call. */
export const soakEvents = {
  /** @param at Place of the event, from 1 on. */
  describe(call: string, at: number): string {
    const number = readNumber(call);
    const idLine = `id: ${describeId(call, at)}`;
    const dataLine = `data: ${call} ${at}`;
    const lines =
      number % 2 === 0 ? [idLine, dataLine] : [dataLine, 'id', idLine];
    const lineEnd = LINE_ENDS[number % LINE_ENDS.length] ?? '';
    return [...lines, '', ''].join(lineEnd);
  },

  /** @return Place of the event with an id; -1 if none of the first ones has it. */
  find(call: string, id: string, events: number): number {
    const places = Array.from({length: events}, (_none, at) => at + 1);
    return places.find(at => describeId(call, at) === id) ?? -1;
  },
};

function describeId(call: string, at: number): string {
  return IDS[readNumber(call) % IDS.length]?.(at) ?? '';
}

function readNumber(call: string): number {
  return Number(/\d+/.exec(call)?.[0] ?? 0);
}
