import type {PeerTransport} from '../../peers/peer_transport.js';

/** Minimum time between two connection resets for a host. */
const RESET_MS = 1_500;

/** Resets connections to hosts out of contact, as they may be dead. */
export class ConnectionResets {
  private readonly resetAtMs = new Map<string, number>();

  constructor(private readonly transport: Pick<PeerTransport, 'reset'>) {}

  /** Resets the connection to a host, unless that was done of late. */
  reset(address: string, nowMs: number): void {
    if (nowMs - (this.resetAtMs.get(address) ?? -Infinity) < RESET_MS) return;
    this.resetAtMs.set(address, nowMs);
    this.transport.reset(address);
  }
}
