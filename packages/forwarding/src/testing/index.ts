/** Test fixtures for routes and upstreams. */
export {describeRoute} from './create_route.js';
export {describeUpstream} from './create_upstream.js';
