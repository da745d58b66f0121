import {randomBytes} from 'node:crypto';

/** Draws a seed that differs from host to host and from run to run. */
export function drawSeed(): number {
  return randomBytes(4).readInt32LE();
}
