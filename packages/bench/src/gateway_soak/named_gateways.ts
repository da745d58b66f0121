import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {request} from 'undici';

const OK_STATUS = 200;
/** Time for which callers keep an answer of the directory. */
const KEEP_MS = 1_000;
const TIMEOUT_MS = 1_000;

/** The gateways that the directory names, as one caller knows them. */
export class NamedGateways {
  private named: readonly number[];
  private readAtMs = -Infinity;

  /**
   * @param directories IP:port of each gateway's directory.
   * @param callers IP:port of each gateway for callers, in the same order.
   */
  constructor(
    private readonly directories: readonly string[],
    private readonly callers: readonly string[],
    private readonly random: RandomGenerator,
  ) {
    this.named = callers.map((_address, at) => at);
  }

  /** Chooses one of the gateways that the last answer names. */
  async choose(): Promise<number> {
    if (performance.now() - this.readAtMs > KEEP_MS) await this.read();
    return this.named[this.draw(this.named.length)] ?? 0;
  }

  /** Asks gateways in turn; the former answer stays while none has one. */
  private async read(): Promise<void> {
    const first = this.draw(this.directories.length);
    const order = [
      ...this.directories.slice(first),
      ...this.directories.slice(0, first),
    ];
    for (const address of order) {
      const hosts = await ask(address);
      const named = hosts.flatMap(host => {
        const at = this.callers.indexOf(host);
        return at < 0 ? [] : [at];
      });
      if (named.length === 0) continue;
      this.named = named;
      this.readAtMs = performance.now();
      return;
    }
  }

  private draw(count: number): number {
    return uniformInt(this.random, 0, count - 1);
  }
}

async function ask(address: string): Promise<readonly string[]> {
  try {
    const answer = await request(`http://${address}/v1/hosts`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const content = (await answer.body.json()) as {hosts?: string[]};
    return answer.statusCode === OK_STATUS ? (content.hosts ?? []) : [];
  } catch {
    return [];
  }
}
