/** How a host tests whether it reaches upstreams; times in milliseconds. */
export const reachTiming = {
  checkIntervalMs: 250,
  /** Upstreams that a test tries first; one that accepts is enough. */
  sampleSize: 2,
  /** Upstreams that it tries before the host counts as cut off. */
  maxTested: 16,
  /** Time for which a new connection must stay open to show that the path works. */
  openMs: 40,
  /** Time in which something must come back of an upstream that is asked. */
  answerMs: 400,
  /** The same before the host counts as cut off: upstreams and hosts may be busy. */
  lastAnswerMs: 800,
  /** Time between two tests that must agree, against a short disturbance. */
  confirmationDelayMs: 150,
} as const;
