/** Test fixtures for routes and upstreams. */
export {createRoute} from './create_route.js';
export {createUpstream} from './create_upstream.js';
