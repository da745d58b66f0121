/** How an error kind is answered. */
export interface Answer {
  /** HTTP status code. */
  readonly status: number;
  /** `type` of the error as public client libraries know it. */
  readonly type: string;
  /** Whether coming back later can help. */
  readonly comeBack: boolean;
}
