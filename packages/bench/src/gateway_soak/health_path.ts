/** Path that the upstreams of a soak answer without work. */
export const HEALTH_PATH = '/health';
