/** One attempt as it is sent to an engine. */
export interface AttemptCall {
  readonly attempt: string;
  /** IP:port of the engine. */
  readonly address: string;
  readonly path: string;
  /** The caller's JSON body, unchanged. */
  readonly body: Buffer;
  /** Host and incarnation that own the attempt. */
  readonly owner: string;
  /** 0 is served first. */
  readonly priority: number;
  /** Reservation at the engine that the attempt uses. */
  readonly reservation: string | undefined;
  /** Tokens that other engines hold for the attempt. */
  readonly remoteTokens: number | undefined;
  /** Output position to continue from. */
  readonly resumeFrom: number;
  /** Time after which the engine ends the work by itself, in milliseconds. */
  readonly limitMs: number;
}
