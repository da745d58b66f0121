import type {HostStatus} from '@parsleywood/schema/host_status';
import {MemberState} from '@parsleywood/membership';
import type {Incarnation} from '@parsleywood/types';
import {HostState} from '../host/host_state.js';
import type {PeerTransport} from './peer_transport.js';

const ASK_INTERVAL_MS = 100;
/** Time after which a host counts as ready although it does not say so. */
const READY_WITHIN_MS = 6_000;

/** Learns from each new incarnation of a peer when callers may be sent there. */
export class PeerReadiness {
  /** Incarnation that was ready, by host. */
  private readonly ready = new Map<string, string>();
  /** Incarnation that is being asked, by host. */
  private readonly asked = new Map<string, string>();
  private stopped = false;

  /** @param onReady Told after a peer became ready. */
  constructor(
    private readonly transport: PeerTransport,
    private readonly onReady: () => void,
  ) {}

  isReady({host, id}: Incarnation): boolean {
    return this.ready.get(host) === id;
  }

  takeMember(member: Incarnation, state: MemberState): void {
    if (state === MemberState.DEAD) {
      this.asked.delete(member.host);
    } else if (
      !this.isReady(member) &&
      this.asked.get(member.host) !== member.id
    ) {
      this.asked.set(member.host, member.id);
      void this.ask(member);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private async ask(member: Incarnation): Promise<void> {
    const untilMs = performance.now() + READY_WITHIN_MS;
    while (performance.now() < untilMs) {
      if (await this.says(member)) break;
      await pause(ASK_INTERVAL_MS);
      if (!this.isAsked(member)) return;
    }
    if (!this.isAsked(member)) return;
    this.asked.delete(member.host);
    this.ready.set(member.host, member.id);
    this.onReady();
  }

  private isAsked({host, id}: Incarnation): boolean {
    return !this.stopped && this.asked.get(host) === id;
  }

  private async says({host, id}: Incarnation): Promise<boolean> {
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
