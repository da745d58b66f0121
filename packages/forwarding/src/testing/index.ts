/** Test fixtures for routes and upstreams. */
export {describeRoute} from './describe_route.js';
export {describeUpstream} from './describe_upstream.js';
