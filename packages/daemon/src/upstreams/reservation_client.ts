import type {SiteView} from '../host/site_view.js';
import {readStatus} from './read_status.js';
import type {UpstreamPools} from './upstream_pools.js';

const REQUEST_TIMEOUT_MS = 1_000;

/** Reserves and frees KV memory at engines. */
export class ReservationClient {
  /** @param owner Owner of the reservations, as `host/incarnation`. */
  constructor(
    private readonly owner: string,
    private readonly site: SiteView,
    private readonly pools: UpstreamPools,
  ) {}

  /**
   * Requests a lease on memory of an engine, or renews it.
   *
   * @param holder Suffix of the owner, to distinguish several holders on this
   *     host.
   * @return Whether the engine granted the lease; false also if it did not
   *     answer.
   */
  async reserve(
    engine: string,
    reservation: string,
    tokens: number,
    leaseMs: number,
    holder = '',
  ): Promise<boolean> {
    const owner = holder === '' ? this.owner : `${this.owner}/${holder}`;
    const body = {owner, tokens, expiresInMs: leaseMs};
    const status = await this.send(engine, reservation, 'POST', body);
    return status === 200 || status === 201;
  }

  /**
   * Frees a reservation. If the engine does not answer, the reservation ends
   * there when its lease expires.
   */
  async release(engine: string, reservation: string): Promise<void> {
    await this.send(engine, reservation, 'DELETE');
  }

  private async send(
    engine: string,
    reservation: string,
    method: 'POST' | 'DELETE',
    body?: object,
  ): Promise<number> {
    const listed = this.site.upstream(engine);
    if (listed === undefined) return 0;
    try {
      const answer = await this.pools.get(listed.address).request({
        method,
        path: `/v1/reservations/${encodeURIComponent(reservation)}`,
        ...(body === undefined
          ? {}
          : {
              headers: {'content-type': 'application/json'},
              body: JSON.stringify(body),
            }),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      return await readStatus(answer);
    } catch {
      return 0;
    }
  }
}
