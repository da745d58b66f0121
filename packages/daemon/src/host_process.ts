import {randomBytes} from 'node:crypto';
import type {StartSettings} from '@parsleywood/schema/start_settings';
import type {Incarnation} from '@parsleywood/types';
import {CallerServer} from './caller_server.js';
import {CompletionHandler} from './completion_handler.js';
import {EventLog} from './event_log.js';
import {HostMetrics} from './host_metrics.js';
import {OperatorServer} from './operator_server.js';
import {parseAddress} from './parse_address.js';
import {PlatformClient} from './platform_client.js';
import {PlatformWatch} from './platform_watch.js';
import {ServiceHandler} from './service_handler.js';
import {Serving} from './serving.js';
import {SiteView} from './site_view.js';
import {SystemClock} from './system_clock.js';
import {UpstreamPools} from './upstream_pools.js';

/** One entry host: builds its parts, starts and stops them. */
export class HostProcess {
  private readonly site = new SiteView();
  private readonly pools = new UpstreamPools();
  private readonly platform: PlatformClient;
  private readonly watch: PlatformWatch;
  private readonly serving: Serving;
  private readonly callers: CallerServer;
  private readonly operators: OperatorServer;

  constructor(private readonly settings: StartSettings) {
    const clock = new SystemClock();
    const incarnation = nameIncarnation(settings.host, clock.wallMs());
    const log = new EventLog(incarnation, settings.logLevel ?? 'info');
    this.platform = new PlatformClient(settings.platformUrl);
    this.watch = new PlatformWatch(
      this.platform,
      this.site,
      settings.site,
      log,
    );
    this.serving = new Serving(
      incarnation,
      clock,
      this.site,
      this.pools,
      new HostMetrics(),
      log,
    );
    this.callers = new CallerServer(
      this.serving,
      new CompletionHandler(this.serving),
      new ServiceHandler(this.serving),
      () => true,
    );
    this.operators = new OperatorServer(this.serving, () =>
      this.watch.isReady(),
    );
  }

  async start(): Promise<void> {
    const operators = parseAddress(this.settings.operatorsAddress);
    const callers = parseAddress(this.settings.callersAddress);
    await this.operators.listen(operators.host, operators.port);
    this.watch.start();
    await this.callers.listen(callers.host, callers.port);
    this.serving.log.info('host_started');
  }

  /** Stops after every request in flight has its answer. */
  async stop(): Promise<void> {
    this.serving.log.info('host_stopping');
    await this.callers.close();
    this.watch.stop();
    await this.operators.close();
    await this.pools.close();
    await this.platform.close();
    this.serving.log.info('host_stopped');
  }
}

function nameIncarnation(host: string, wallMs: number): Incarnation {
  return {host, id: `${wallMs}-${randomBytes(3).toString('hex')}`};
}
