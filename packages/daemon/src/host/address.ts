/** Where a listener is bound. */
export interface Address {
  /** IP number. */
  readonly host: string;
  readonly port: number;
}
