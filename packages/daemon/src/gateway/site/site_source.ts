import type {SiteChange, SiteSnapshot} from '@parsleywood/forwarding';
import type {Result} from 'true-myth';
import type {SiteSourceError} from './site_source_error.js';

/** Store that publishes a site's configuration and its list of upstreams. */
export interface SiteSource {
  /**
   * Reads the complete published state.
   *
   * @param limitMs Time limit of each call; the usual one where absent.
   */
  load(limitMs?: number): Promise<Result<SiteSnapshot, SiteSourceError>>;

  /**
   * Waits for changes after a revision (long poll). Without changes, returns
   * after a timeout with the position alone. A position of another epoch tells that
   * the store came back from a copy; the changes do not follow the revision then.
   *
   * @param isProbe Whether to return at once, with or without changes.
   */
  watch(
    revision: number,
    isProbe: boolean,
  ): Promise<Result<SiteChange, SiteSourceError>>;

  close(): void;
}
