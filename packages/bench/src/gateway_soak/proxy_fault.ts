/** What a proxy does to the bytes that pass through it. */
export enum ProxyFault {
  NONE = 'none',
  /** Holds every piece for a while. */
  DELAY = 'delay',
  /** Holds everything until the fault ends, then goes on. */
  HOLD = 'hold',
  /** Refuses new connections; open ones live on. */
  REFUSE = 'refuse',
  /** Resets connections, open ones and new ones. */
  RESET = 'reset',
  /** Passes requests on and swallows the answers. */
  ONE_WAY = 'one_way',
  /** Swallows everything; connections stay open. */
  SILENCE = 'silence',
}
