/** Bytes that a server answers with, one for each character. */
export interface RawResponse {
  readonly bytes: string;
  /** Whether the connection is reset with the last byte, or ends after it. */
  readonly isReset: boolean;
}
