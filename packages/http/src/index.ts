/** Public API of the http package: clients that check what they take for a response. */
export {HttpAgent} from './http_agent.js';
export {HttpClient} from './http_client.js';
export {HttpPool} from './http_pool.js';
export {readFraming} from './read_framing.js';
export {ResponseFraming} from './response_framing.js';
