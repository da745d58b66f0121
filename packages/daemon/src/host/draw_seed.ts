import {randomBytes} from 'node:crypto';

/** Generates a random 32-bit seed, so that hosts and runs do not share a random sequence. */
export function drawSeed(): number {
  return randomBytes(4).readInt32LE();
}
