/** Complete response of a service upstream. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}
