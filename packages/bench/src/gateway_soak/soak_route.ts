/** A route of the soak's site. */
export interface SoakRoute {
  readonly name: string;
  readonly path: string;
  readonly kind: 'safe' | 'unsafe' | 'stream';
  readonly service: string;
  /** Longest time of a request, in milliseconds. */
  readonly timeoutMs: number;
}
