const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Counts the lines that end in a chunk, by a line feed, a carriage return or both. */
export function countLines(chunk: Buffer): number {
  let lines = countBytes(chunk, LINE_FEED, () => true);
  lines += countBytes(
    chunk,
    CARRIAGE_RETURN,
    at => chunk[at + 1] !== LINE_FEED,
  );
  return lines;
}

function countBytes(
  chunk: Buffer,
  byte: number,
  counts: (at: number) => boolean,
): number {
  let counted = 0;
  for (
    let at = chunk.indexOf(byte);
    at >= 0;
    at = chunk.indexOf(byte, at + 1)
  ) {
    if (counts(at)) counted++;
  }
  return counted;
}
