/** What a host reads of one server-sent event. */
export interface EventFields {
  /**
   * Value of its last `id` field, a character for each byte; undefined if it has none.
   * It is an opaque text.
   */
  readonly id: string | undefined;
  /** Whether it has data, so that clients are told of it. */
  readonly hasData: boolean;
  /** Whether it has lines that are neither fields nor comments of an event. */
  readonly isForeign: boolean;
}
