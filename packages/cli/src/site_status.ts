import type {HostStatus} from '@parsleywood/schema/host_status';

/** Status of all hosts of a site, as returned by one of them. */
export interface SiteStatus {
  /** Name of the host that served the status request. */
  readonly asked: string;
  readonly hosts: readonly HostStatus[];
}
