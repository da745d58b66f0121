import type {HostStatus} from '@parsleywood/schema/host_status';
import {MemberState} from '@parsleywood/membership';
import type {Incarnation} from '@parsleywood/types';
import {HostState} from '../host/host_state.js';
import type {PeerTransport} from './peer_transport.js';

const POLL_INTERVAL_MS = 100;
/** Time after which a peer is assumed to be ready without having reported it. */
const ASSUME_READY_AFTER_MS = 6_000;

/**
 * Polls each new incarnation of a peer until it reports that it is ready, so
 * that callers are sent only to peers that can serve them.
 */
export class PeerReadiness {
  /** Incarnation that became ready, by host. */
  private readonly readyIncarnations = new Map<string, string>();
  /** Incarnation that is being polled, by host. */
  private readonly polledIncarnations = new Map<string, string>();
  private stopped = false;

  /** @param onReady Called each time a peer has become ready. */
  constructor(
    private readonly transport: PeerTransport,
    private readonly onReady: () => void,
  ) {}

  isReady({host, id}: Incarnation): boolean {
    return this.readyIncarnations.get(host) === id;
  }

  handleMemberChange(member: Incarnation, state: MemberState): void {
    if (state === MemberState.DEAD) {
      this.polledIncarnations.delete(member.host);
    } else if (
      !this.isReady(member) &&
      this.polledIncarnations.get(member.host) !== member.id
    ) {
      this.polledIncarnations.set(member.host, member.id);
      void this.pollUntilReady(member);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private async pollUntilReady(member: Incarnation): Promise<void> {
    const deadlineMs = performance.now() + ASSUME_READY_AFTER_MS;
    while (performance.now() < deadlineMs) {
      if (await this.reportsReady(member)) break;
      await pause(POLL_INTERVAL_MS);
      if (!this.isPolling(member)) return;
    }
    if (!this.isPolling(member)) return;
    this.polledIncarnations.delete(member.host);
    this.readyIncarnations.set(member.host, member.id);
    this.onReady();
  }

  private isPolling({host, id}: Incarnation): boolean {
    return !this.stopped && this.polledIncarnations.get(host) === id;
  }

  private async reportsReady({host, id}: Incarnation): Promise<boolean> {
    const result = await this.transport.readStatus(host);
    if (result.isErr) return false;
    const status = JSON.parse(result.value) as HostStatus;
    return (
      status.incarnation === id && status.state !== String(HostState.STARTING)
    );
  }
}

async function pause(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms).unref());
}
