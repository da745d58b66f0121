/** Request to be admitted, queued or refused. */
export interface AdmissionRequest {
  readonly id: string;
  readonly account: string;
  readonly model: string;
  /** Name of the length class. */
  readonly lengthClass: string;
  /** Estimated prompt and answer tokens. */
  readonly tokens: number;
  /** Monotonic time at which the time limit of the request ends. */
  readonly deadlineMs: number;
}
