import {readFile} from 'node:fs/promises';

/** Length of a clock tick of /proc on Linux, in milliseconds. */
const TICK_MS = 10;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Reads the processor time that a process has used, in milliseconds. */
export async function readProcessorMs(pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8');
  // Fields count from the end of the name, which may hold blanks.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return ticks * TICK_MS;
}
