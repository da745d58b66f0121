/** When an engine would prefill a part of a prompt. */
export interface PrefillTiming {
  /** Engine time that the part takes, in milliseconds. */
  readonly prefillMs: number;
  /** Time until the part is done, in milliseconds. */
  readonly finishMs: number;
  /** Length of the pass that prefills it; 0 when the engine does not decode. */
  readonly passMs: number;
}
