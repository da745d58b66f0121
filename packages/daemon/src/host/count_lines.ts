const LINE_FEED = 0x0a;

/** Counts the lines that end in a chunk. */
export function countLines(chunk: Buffer): number {
  let lines = 0;
  let at = chunk.indexOf(LINE_FEED);
  while (at >= 0) {
    lines++;
    at = chunk.indexOf(LINE_FEED, at + 1);
  }
  return lines;
}
