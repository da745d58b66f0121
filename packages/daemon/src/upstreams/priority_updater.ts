import type {RoutedRequest} from '@parsleywood/routing';
import type {EngineClient} from './engine_client.js';
import type {EngineTraffic} from './engine_traffic.js';

const CHECK_INTERVAL_MS = 500;

/** Raises the priority of a running attempt at its engine as time runs out. */
export class PriorityUpdater {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly traffic: EngineTraffic,
    private readonly engines: EngineClient,
  ) {}

  /**
   * @param address IP:port of the engine.
   * @param sentPriority Priority that the engine was told; 0 cannot rise.
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
