import type {DirectoryDialect} from './callers/directory_dialect.js';
import type {HeaderNames} from './header_names.js';

/**
 * Header names, paths and formats of a gateway towards callers and the
 * platform.
 */
export interface GatewayDialect {
  readonly headers: HeaderNames;
  readonly directory: DirectoryDialect;
  /** Path of the readiness check. */
  readonly readinessPath: string;
}
