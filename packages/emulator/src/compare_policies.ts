import type {LoadPattern} from '@parsleywood/schema/load_pattern';
import {emulate} from './emulate.js';
import type {Emulation} from './emulation.js';
import type {PolicyName} from './policy_name.js';
import {summarize} from './summarize.js';

/** Plays one pattern under several policies, each with the same load. */
export function comparePolicies(
  pattern: LoadPattern,
  policies: readonly PolicyName[],
  seed: number,
): Emulation[] {
  return policies.map(policy =>
    summarize(pattern, policy, seed, emulate(pattern, policy, seed)),
  );
}
