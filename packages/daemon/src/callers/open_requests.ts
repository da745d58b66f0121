import type {ServerResponse} from 'node:http';

/** HTTP requests whose answer has not been handed over whole. */
export class OpenRequests {
  private readonly open = new Set<number>();
  private nextNumber = 0;

  /** Counts a request from its head until its answer is written or lost. */
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

  /** Mark that separates the requests begun so far from later ones. */
  currentMark(): number {
    return this.nextNumber;
  }

  /** Whether a request begun before the mark is open. */
  hasOpenBefore(mark: number): boolean {
    const [oldest] = this.open;
    return oldest !== undefined && oldest < mark;
  }
}
