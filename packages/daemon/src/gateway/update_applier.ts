import type {PlacementBook, UpstreamHealth} from '@parsleywood/dispatch';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import type {SuspectDesk} from '../upstreams/suspect_desk.js';

/** Takes over what other hosts tell of requests and upstreams. */
export class NewsTaker {
  constructor(
    private readonly book: PlacementBook,
    private readonly health: UpstreamHealth,
    private readonly suspects: SuspectDesk,
  ) {}

  /**
   * Takes the news of a host.
   *
   * @return Whether the message was news; others concern the hosts themselves.
   */
  take(host: string, {body}: FleetMessage, nowMs: number): boolean {
    switch (body?.$case) {
      case 'placementStart':
        this.book.add({...body.value, host}, nowMs);
        return true;
      case 'placementWriting':
        this.book.startWriting(body.value, nowMs);
        return true;
      case 'placementEnd':
        this.book.end(body.value);
        return true;
      case 'upstreamFailure': {
        const {upstream, silent} = body.value;
        this.health.takeFailure(upstream, silent, nowMs);
        return true;
      }
      case 'suspect': {
        const {fingerprint, bodyBytes, verdict} = body.value;
        this.suspects.takeNews(fingerprint, bodyBytes, verdict);
        return true;
      }
      default:
        return false;
    }
  }

  /** Forgets the requests of a host that was started anew. */
  dropHost(host: string): void {
    this.book.dropHost(host);
  }
}
