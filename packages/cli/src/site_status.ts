import type {HostStatus} from '@parsleywood/schema/host_status';

/** The hosts of a site as one of them sees them. */
export interface SiteStatus {
  /** Name of the host that was asked. */
  readonly asked: string;
  readonly hosts: readonly HostStatus[];
}
