import type {MemberState, UpstreamNews} from '@parsleywood/membership';
import type {HostList} from '@parsleywood/schema/host_list';
import type {Incarnation} from '@parsleywood/types';

/** Hears what membership finds out. */
export interface MembershipListener {
  /** @param proved Whether a dead incarnation cannot come back. */
  onMemberChanged(
    member: Incarnation,
    state: MemberState,
    proved: boolean,
  ): void;
  onHostList(list: HostList, revision: number): void;
  onUpstreamTold(upstream: string, news: UpstreamNews): void;
  /** A later incarnation of this host runs. */
  onSuperseded(): void;
}
