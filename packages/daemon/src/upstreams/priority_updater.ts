import type {RoutedRequest} from '@parsleywood/routing';
import type {EngineClient} from './engine_client.js';
import type {EngineTraffic} from './engine_traffic.js';

const CHECK_INTERVAL_MS = 500;

/**
 * Sends the engine a new priority of a running attempt when the priority
 * changes, which it does as the deadline approaches.
 */
export class PriorityUpdater {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly traffic: EngineTraffic,
    private readonly engines: EngineClient,
  ) {}

  /**
   * @param address IP:port of the engine.
   * @param sentPriority Priority last sent to the engine. 0 is the highest, so
   *     it is not checked further.
   */
  start(
    request: RoutedRequest,
    attempt: string,
    address: string,
    sentPriority: number,
  ): void {
    this.stop();
    if (sentPriority === 0) return;
    this.timer = setTimeout(() => {
      const priority = this.traffic.priority(request) ?? sentPriority;
      if (priority !== sentPriority) {
        this.engines.setPriority(address, attempt, priority);
      }
      this.start(request, attempt, address, priority);
    }, CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
