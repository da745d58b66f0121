import type {SiteChange, SiteSnapshot} from '@parsleywood/forwarding';
import type {Result} from 'true-myth';
import type {SourceFault} from './source_fault.js';

/** Where a site's configuration and upstreams are published. */
export interface SiteSource {
  /** Reads all that is published. */
  load(): Promise<Result<SiteSnapshot, SourceFault>>;

  /**
   * Waits for changes after a revision; without any, answers after a while with
   * the revision alone.
   */
  watch(revision: number): Promise<Result<SiteChange, SourceFault>>;

  close(): void;
}
