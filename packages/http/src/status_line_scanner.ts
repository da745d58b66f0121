const CR = 0x0d;
const LF = 0x0a;
const HTAB = 0x09;
const SPACE = 0x20;
const DEL = 0x7f;
const DIGITS = '0123456789';
const PROTOCOL = [...'HTTP/1.'];
/** Allowed characters by position, up to the end of the status. */
const STATUS_LINE_START: readonly string[] = [
  ...PROTOCOL,
  ...['01', ' ', '12345', DIGITS, DIGITS],
];
const MINOR_VERSION_AT = PROTOCOL.length;
const STATUS_CLASS_AT = MINOR_VERSION_AT + 2;
const HEAD_END = [CR, LF, CR, LF];

/** What the next byte belongs to. */
enum Part {
  STATUS_LINE = 'status line',
  INTERIM_FIELDS = 'interim fields',
  REST = 'rest',
}

/**
 * Checks the status line of a response, and of the interim responses before it, by
 * RFC 9112, section 4, in bytes that arrive in any pieces. The parser checks the lines'
 * ends and all that follows, but takes other protocols and any three digits.
 */
export class StatusLineScanner {
  private part = Part.REST;
  /** Position in the status line. */
  private column = 0;
  /** Length of the part of `HEAD_END` that came last. */
  private endLength = 0;
  private isInterim = false;
  private hasOldVersion = false;

  /** Whether the response in progress is one of HTTP/1.0. */
  get isHttp10(): boolean {
    return this.hasOldVersion;
  }

  /** What follows is the response to a further request. */
  start(): void {
    this.part = Part.STATUS_LINE;
    this.column = 0;
  }

  /** @return Whether the bytes may belong to a response. */
  accept(bytes: Buffer): boolean {
    for (const byte of bytes) {
      if (this.part === Part.REST) return true;
      if (this.part === Part.INTERIM_FIELDS) this.skipField(byte);
      else if (!this.acceptInStatusLine(byte)) return false;
    }
    return true;
  }

  private acceptInStatusLine(byte: number): boolean {
    // Empty lines before a message are tolerated, as in RFC 9112, section 2.2.
    if (this.column === 0 && (byte === CR || byte === LF)) return true;
    const allowed = STATUS_LINE_START[this.column];
    if (allowed === undefined) return this.acceptInReason(byte);
    const char = String.fromCharCode(byte);
    if (this.column === MINOR_VERSION_AT) this.hasOldVersion = char === '0';
    if (this.column === STATUS_CLASS_AT) this.isInterim = char === '1';
    this.column++;
    return allowed.includes(char);
  }

  private acceptInReason(byte: number): boolean {
    if (byte === CR) {
      this.part = this.isInterim ? Part.INTERIM_FIELDS : Part.REST;
      this.endLength = 1;
      return true;
    }
    const isFirst = this.column === STATUS_LINE_START.length;
    this.column++;
    if (isFirst) return byte === SPACE;
    return byte === HTAB || (byte >= SPACE && byte !== DEL);
  }

  private skipField(byte: number): void {
    if (byte === HEAD_END[this.endLength]) this.endLength++;
    else this.endLength = byte === CR ? 1 : 0;
    if (this.endLength === HEAD_END.length) this.start();
  }
}
