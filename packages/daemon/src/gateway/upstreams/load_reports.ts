import type {EngineLoad} from '@parsleywood/dispatch';
import type {UpstreamEntry} from '@parsleywood/forwarding';

/** Reads what engines report of their load. */
export interface LoadReports {
  /** @return Undefined without a usable report. */
  read(engine: UpstreamEntry): Promise<EngineLoad | undefined>;
}
