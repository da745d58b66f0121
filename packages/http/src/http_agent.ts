import {Agent, type Pool} from 'undici';
import {HttpPool} from './http_pool.js';

/** Pools of `HttpClient`s, one for each origin. */
export class HttpAgent extends Agent {
  constructor(options: Agent.Options = {}) {
    super({
      ...options,
      factory: (origin, poolOptions) =>
        new HttpPool(origin, poolOptions as Pool.Options),
    });
  }
}
