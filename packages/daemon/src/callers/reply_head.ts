/** Response header fields, by lower-case name. */
export type ReplyHead = Readonly<Record<string, string>>;
