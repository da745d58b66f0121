import {Counter, Gauge, type Registry} from 'prom-client';

/** Metrics of the rate limit of cold upstreams. */
export class ColdMetrics {
  readonly upstreams: Gauge;
  readonly allowedRate: Gauge;
  readonly sent: Counter;
  readonly refused: Counter;
  readonly holds: Counter;

  constructor(registry: Registry) {
    const registers = [registry];
    this.upstreams = new Gauge({
      name: 'parsleywood_cold_upstreams',
      help: 'Listed upstreams that are cold, by what this host may send them.',
      labelNames: ['use'],
      registers,
    });
    this.allowedRate = new Gauge({
      name: 'parsleywood_cold_allowed_per_second',
      help: 'Requests a second that this host may send to cold upstreams.',
      registers,
    });
    this.sent = new Counter({
      name: 'parsleywood_cold_requests_total',
      help: 'Requests that this host sent to cold upstreams, by service.',
      labelNames: ['service'],
      registers,
    });
    this.refused = new Counter({
      name: 'parsleywood_cold_refusals_total',
      help: 'Requests refused as this host may send nothing to the cold upstreams that are left, by use of the first one.',
      labelNames: ['service', 'use'],
      registers,
    });
    this.holds = new Counter({
      name: 'parsleywood_event_loop_holds_total',
      help: 'Times at which this host did not run for more than 500 ms, where upstreams can be cold.',
      registers,
    });
  }
}
