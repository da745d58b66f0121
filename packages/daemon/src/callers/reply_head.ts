/** Response headers, by lower-case name. */
export type ReplyHead = Readonly<Record<string, string>>;
