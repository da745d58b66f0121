import type {DirectoryDialect} from './directory_dialect.js';
import type {HeaderNames} from './header_names.js';

/** Names and shapes in which a gateway speaks to callers and the platform. */
export interface GatewayDialect {
  readonly headers: HeaderNames;
  readonly directory: DirectoryDialect;
  /** Path at which the platform asks whether a host is ready. */
  readonly readinessPath: string;
}
