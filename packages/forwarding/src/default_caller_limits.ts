import type {CallerLimits} from './caller_limits.js';

/** Limits where a configuration sets none, or none is known yet. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  // Node's own limit.
  maxHeaderBytes: 16_384,
  // A prompt of a million tokens as text.
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
