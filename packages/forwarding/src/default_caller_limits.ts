import type {CallerLimits} from './caller_limits.js';

/** Used when the configuration sets no limits or has not been loaded yet. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  // The default of Node.js.
  maxHeaderBytes: 16_384,
  // Enough for a prompt of a million tokens as text.
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
