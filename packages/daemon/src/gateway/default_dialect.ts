import {DEFAULT_HEADER_NAMES} from './default_header_names.js';
import type {GatewayDialect} from './gateway_dialect.js';

/** Headers and paths of Parsleywood's own HTTP interface. */
export const DEFAULT_DIALECT: GatewayDialect = {
  headers: DEFAULT_HEADER_NAMES,
  directory: {
    path: '/v1/hosts',
    query: {name: 'host', region: 'region', failureDomain: 'failureDomain'},
    encode: (hosts, ttlMs) => ({hosts, ttlMs}),
  },
  readinessPath: '/readyz',
};
