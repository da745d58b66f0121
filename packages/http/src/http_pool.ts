import {type Client, Pool} from 'undici';
import {HttpClient} from './http_client.js';

/** Pool of `HttpClient`s for one origin. */
export class HttpPool extends Pool {
  constructor(origin: string | URL, options: Pool.Options = {}) {
    super(origin, {
      ...options,
      factory: (url, clientOptions) =>
        new HttpClient(url, clientOptions as Client.Options),
    });
  }
}
