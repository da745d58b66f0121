/** Crash of an upstream while a prompt ran on it, as one host saw it. */
export interface TraitCrash {
  readonly upstream: string;
  /** SHA-256 that identifies the request, in hexadecimal. */
  readonly request: string;
  /** Parts of the prompt that other prompts may share. */
  readonly parts: readonly string[];
  /** Monotonic time at which the attempt started, in milliseconds. */
  readonly startedAtMs: number;
  /** Monotonic time at which the crash was noticed, in milliseconds. */
  readonly crashedAtMs: number;
}
