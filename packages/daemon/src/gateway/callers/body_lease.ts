/** Keeps the bytes of a request's body, which are freed once all have released it. */
export interface BodyLease {
  retain(): void;
  release(): void;
}
