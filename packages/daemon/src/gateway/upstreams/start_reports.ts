import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';
import type {LoadReports} from './load_reports.js';

/** Time for peers to tell of placements before engines are asked. */
const CHECK_INTERVAL_MS = 100;

/** Reads the load of a few engines while a host that has started does not know it. */
export class StartReports {
  private timer: NodeJS.Timeout | undefined;

  /** @param reports Undefined where engines report no load. */
  constructor(
    private readonly context: GatewayContext,
    private readonly reports: LoadReports | undefined,
  ) {}

  /** Starts when the host is ready. */
  start(): void {
    const {startView, clock} = this.context;
    startView.begin(clock.nowMs());
    this.timer = setInterval(() => {
      this.check();
    }, CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const {context} = this;
    const {clock, startView, replica} = context;
    const nowMs = clock.nowMs();
    const services = replica.rules?.configuration.services ?? [];
    const blind = services.filter(one => startView.isMissing(one, nowMs));
    context.metrics.missingViews.set(blind.length);
    // Once it is there, a view lasts.
    if (blind.length === 0 && services.length > 0) this.stop();
    for (const service of blind) this.ask(service, nowMs);
  }

  private ask(service: Service, nowMs: number): void {
    const {startView, replica, health, rests, draw} = this.context;
    if (this.reports === undefined) return;
    const engines = replica.upstreams
      .usable(service.name, nowMs)
      .filter(
        ({id, coldRemainingMs = 0}) =>
          coldRemainingMs === 0 &&
          !health.isAvoided(id, nowMs) &&
          !rests.isResting(id, nowMs),
      );
    const asked = startView.chooseQuestions(engines, service, nowMs, draw);
    if (asked.length > 0) void this.readAll(asked, service, this.reports);
  }

  private async readAll(
    engines: readonly UpstreamEntry[],
    {name}: Service,
    reports: LoadReports,
  ): Promise<void> {
    const results = await Promise.all(
      engines.map(engine => this.read(engine, reports)),
    );
    this.context.log.info('load_reports_read', {
      service: name,
      asked: engines.length,
      answered: results.filter(Boolean).length,
      viewMs: Math.round(
        this.context.startView.getViewMs(this.context.clock.nowMs()),
      ),
    });
  }

  private async read(
    engine: UpstreamEntry,
    reports: LoadReports,
  ): Promise<boolean> {
    const {startView, placements, clock, metrics} = this.context;
    const load = await reports.read(engine);
    metrics.loadReports.inc({result: load ? 'read' : 'missing'});
    if (load === undefined) return false;
    const nowMs = clock.nowMs();
    const known = placements.getUpstreamPlacements(engine.id, nowMs);
    startView.recordReport(engine.id, load, known, nowMs);
    return true;
  }
}
