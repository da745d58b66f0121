import type {EngineState, EngineCommand} from '@parsleywood/placement';
import type {Dispatcher} from 'undici';
import type {SiteView} from '../host/site_view.js';
import type {UpstreamPools} from './upstream_pools.js';

const PATH = '/v1/orders';
const TIMEOUT_MS = 1_000;
const CONFLICT = 409;

/** Reads engines back and gives them orders. */
export class PlacementClient {
  constructor(
    private readonly site: SiteView,
    private readonly pools: UpstreamPools,
  ) {}

  /** What the engine holds; undefined when it did not answer in its form. */
  async read(engine: string): Promise<EngineState | undefined> {
    const answer = await this.send(engine, {method: 'GET', path: PATH});
    if (answer?.statusCode !== 200) {
      await answer?.body.dump();
      return undefined;
    }
    const content: unknown = await answer.body.json();
    return isContent(content) ? content : undefined;
  }

  /**
   * Gives one order.
   *
   * @return True when taken, the engine's fencing number when refused as old,
   *     undefined when the outcome is unknown.
   */
  async order(
    engine: string,
    order: EngineCommand,
  ): Promise<true | number | undefined> {
    const answer = await this.send(engine, {
      method: 'POST',
      path: PATH,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(order),
    });
    if (answer?.statusCode === CONFLICT) {
      const refusal = (await answer.body.json()) as {
        error?: {fencing?: unknown};
      };
      const fencing = refusal.error?.fencing;
      return typeof fencing === 'number' ? fencing : undefined;
    }
    await answer?.body.dump();
    return answer?.statusCode === 200 ? true : undefined;
  }

  private async send(
    engine: string,
    request: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData | undefined> {
    const listed = this.site.upstream(engine);
    if (listed === undefined) return undefined;
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    return this.pools.get(listed.address).request({...request, signal});
  }
}

function isContent(value: unknown): value is EngineState {
  if (typeof value !== 'object' || value === null) return false;
  const {fencing, role, loads} = value as Partial<EngineState>;
  return (
    Number.isSafeInteger(fencing) &&
    typeof role === 'string' &&
    Array.isArray(loads)
  );
}
