import type {MemberState, UpstreamNews} from '@parsleywood/membership';
import type {HostList} from '@parsleywood/schema/host_list';
import type {Incarnation} from '@parsleywood/types';

/** Is notified of changes that membership detects or receives. */
export interface MembershipListener {
  /** @param proved Whether it is certain that a dead incarnation cannot return. */
  onMemberChanged(
    member: Incarnation,
    state: MemberState,
    proved: boolean,
  ): void;
  onHostListAdopted(list: HostList, revision: number): void;
  /** Called when a peer reports a failing or leaving upstream. */
  onUpstreamReported(upstream: string, news: UpstreamNews): void;
  /** Called when a later incarnation of this host is running. */
  onSuperseded(): void;
}
