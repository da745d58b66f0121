import type {ServerResponse} from 'node:http';

/** Tracks HTTP requests whose answer is not yet completely sent. */
export class OpenRequests {
  private readonly open = new Set<number>();
  private nextNumber = 0;

  /** Tracks a request until its answer is sent or its connection is lost. */
  add(response: ServerResponse): void {
    const number = this.nextNumber++;
    this.open.add(number);
    response.once('close', () => {
      this.open.delete(number);
    });
  }

  count(): number {
    return this.open.size;
  }

  /** Returns a mark that separates the requests so far from later ones. */
  currentMark(): number {
    return this.nextNumber;
  }

  /** Whether a request that started before the mark is still open. */
  hasOpenBefore(mark: number): boolean {
    const [oldest] = this.open;
    return oldest !== undefined && oldest < mark;
  }
}
