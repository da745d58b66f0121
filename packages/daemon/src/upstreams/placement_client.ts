import type {EngineState, EngineCommand} from '@parsleywood/placement';
import type {Dispatcher} from 'undici';
import type {SiteView} from '../host/site_view.js';
import {readLimitedJson} from './read_limited_json.js';
import {readStatus} from './read_status.js';
import type {UpstreamPools} from './upstream_pools.js';

const ORDERS_PATH = '/v1/orders';
const REQUEST_TIMEOUT_MS = 1_000;
const HTTP_CONFLICT = 409;

/** Reads the placement of engines and sends them placement orders. */
export class PlacementClient {
  constructor(
    private readonly site: SiteView,
    private readonly pools: UpstreamPools,
  ) {}

  /**
   * Returns what the engine has loaded; undefined if the engine is not listed,
   * its status is not 200 or its response has another shape.
   *
   * @throws If the connection fails, the request times out or the response is
   *     not JSON.
   */
  async read(engine: string): Promise<EngineState | undefined> {
    const answer = await this.send(engine, {method: 'GET', path: ORDERS_PATH});
    if (answer?.statusCode !== 200) {
      await answer?.body.dump();
      return undefined;
    }
    const content = await readLimitedJson(answer.body);
    return isEngineContent(content) ? content : undefined;
  }

  /**
   * Sends one order.
   *
   * @return True if the engine accepted it, the engine's fencing number if it
   *     refused the order as outdated, undefined if the outcome is unknown.
   * @throws If the connection fails, the response breaks off or the request
   *     times out.
   */
  async order(
    engine: string,
    order: EngineCommand,
  ): Promise<true | number | undefined> {
    const answer = await this.send(engine, {
      method: 'POST',
      path: ORDERS_PATH,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(order),
    });
    if (answer?.statusCode === HTTP_CONFLICT) {
      const refusal = (await readLimitedJson(answer.body)) as {
        error?: {fencing?: unknown};
      };
      const fencing = refusal.error?.fencing;
      return typeof fencing === 'number' ? fencing : undefined;
    }
    if (answer === undefined) return undefined;
    return (await readStatus(answer)) === 200 ? true : undefined;
  }

  private async send(
    engine: string,
    request: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData | undefined> {
    const listed = this.site.upstream(engine);
    if (listed === undefined) return undefined;
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    return this.pools.get(listed.address).request({...request, signal});
  }
}

function isEngineContent(value: unknown): value is EngineState {
  if (typeof value !== 'object' || value === null) return false;
  const {fencing, role, loads} = value as Partial<EngineState>;
  return (
    Number.isSafeInteger(fencing) &&
    typeof role === 'string' &&
    Array.isArray(loads)
  );
}
