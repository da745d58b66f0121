/** Answer of a plain service, whole. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}
