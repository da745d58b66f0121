/** Routes and upstreams for tests. */
export {describeRoute} from './describe_route.js';
export {describeUpstream} from './describe_upstream.js';
