import {
  PlacementPhase,
  type PlacementRegistry,
  type StartView,
} from '@parsleywood/dispatch';
import type {
  FleetMessage,
  HostBeat,
  PlacementInProgress,
  PlacementsInProgress,
} from '@parsleywood/schema/fleet';
import {encodePlacement} from './encode_placement.js';
import type {UpdateRelay} from './update_relay.js';

/** Placements of a message at most, the newest ones. */
const MAX_PLACEMENTS = 2_000;
/** Hosts that are remembered as told, more than a site has. */
const MAX_TOLD = 1_000;

/**
 * Tells hosts that are new which placements are in progress. Load pattern: a host is
 * restarted or added beside others, and would take all upstreams for idle.
 */
export class PlacementExchange {
  /** Incarnation of each host that was told, and whether it was told all. */
  private readonly told = new Map<string, string>();

  /**
   * @param self IP:port of this host for peers.
   * @param relay Sends the messages.
   * @param isUsed Whether the site asks for this.
   */
  constructor(
    private readonly placements: PlacementRegistry,
    private readonly view: StartView,
    private readonly self: string,
    private readonly relay: Pick<UpdateRelay, 'send'>,
    private readonly isUsed: () => boolean,
  ) {}

  /**
   * Tells the sender of a heartbeat, if it may be new, the placements that it hears of
   * from this host alone.
   *
   * @param relays Hosts that pass news on; undefined where all hosts tell each other.
   */
  tell(
    {peersAddress, subscribes}: HostBeat,
    incarnation: string,
    relays: readonly string[] | undefined,
    nowMs: number,
  ): void {
    const tellsAll = subscribes || relays?.includes(peersAddress) === true;
    if (relays !== undefined && !tellsAll) return;
    const news = this.createNews(peersAddress, incarnation, tellsAll, nowMs);
    if (news !== undefined) this.relay.send(peersAddress, news);
  }

  /**
   * Creates the message for a host, once for each start of it.
   *
   * @param tellsAll Whether it hears of other hosts' placements from this one alone.
   *     Otherwise it is told of this host's own: the end of another one may have
   *     reached it already.
   */
  createNews(
    address: string,
    incarnation: string,
    tellsAll: boolean,
    nowMs: number,
  ): FleetMessage | undefined {
    const mark = `${incarnation} ${String(tellsAll)}`;
    if (!this.isUsed() || this.told.get(address) === mark) return undefined;
    this.told.delete(address);
    this.told.set(address, mark);
    const [oldest = ''] = this.told.keys();
    if (this.told.size > MAX_TOLD) this.told.delete(oldest);
    const placements = this.placements
      .list()
      .filter(({placement: {host}}) =>
        tellsAll ? host !== address : host === '',
      )
      .slice(-MAX_PLACEMENTS)
      .map(({placement, placedAtMs, phase}): PlacementInProgress => ({
        start: encodePlacement(placement),
        host: placement.host || this.self,
        ageMs: Math.max(0, Math.round(nowMs - placedAtMs)),
        writing: phase === PlacementPhase.DECODE,
      }));
    const viewMs = Math.round(this.view.getViewMs(nowMs));
    const value = {placements, viewMs};
    return {body: {$case: 'placementsInProgress', value}};
  }

  /** Applies what another host told. */
  apply({placements, viewMs}: PlacementsInProgress, nowMs: number): void {
    for (const {start, host, ageMs, writing} of placements) {
      // A placement of an earlier start of this host has ended with it.
      if (start === undefined || host === this.self) continue;
      this.placements.add({...start, host}, nowMs, nowMs - ageMs);
      if (writing) this.placements.startDecode(start.id, nowMs);
    }
    this.view.recordPeerView(viewMs, nowMs);
  }
}
