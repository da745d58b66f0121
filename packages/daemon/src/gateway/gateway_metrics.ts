import {Counter, Gauge, Histogram} from 'prom-client';
import type {HostMetrics} from '../host/host_metrics.js';
import {EvacuationGauges} from './site/evacuation_gauges.js';
import {MemoryMetrics} from '../host/memory_metrics.js';

const LATENCY_BUCKETS_S = [
  0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 4, 8, 15,
];

/** Metrics of the requests that a gateway forwards. */
export class GatewayMetrics {
  readonly requests: Counter;
  readonly attempts: Counter;
  readonly callersGone: Counter;
  readonly excludedRequests: Counter;
  readonly firstByteSeconds: Histogram;
  readonly storeCalls: Counter;
  readonly siteDeltas: Counter;
  readonly upstreamRests: Counter;
  readonly pathTests: Counter;
  readonly loadReports: Counter;
  readonly choicesWithoutView: Counter;
  readonly missingViews: Gauge;
  readonly openRequests: Gauge;
  readonly pacedRefusals: Counter;
  readonly restingUpstreams: Gauge;
  readonly leavingUpstreams: Gauge;
  readonly pacedUpstreams: Gauge;
  readonly paceWindow: Gauge;
  readonly droppedLogLines: Gauge;
  readonly reachesUpstreams: Gauge;
  readonly evacuations: EvacuationGauges;
  readonly memory: MemoryMetrics;

  constructor(readonly host: HostMetrics) {
    const registers = [host.registry];
    this.evacuations = new EvacuationGauges(host.registry);
    this.memory = new MemoryMetrics(host.registry);
    this.requests = new Counter({
      name: 'parsleywood_forwarded_requests_total',
      help: 'Forwarded requests concluded, by service and outcome.',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.attempts = new Counter({
      name: 'parsleywood_forward_attempts_total',
      help: 'Attempts at upstreams, by service and end.',
      labelNames: ['service', 'end'],
      registers,
    });
    this.callersGone = new Counter({
      name: 'parsleywood_callers_gone_total',
      help: 'Callers that left before their answer was whole, by service and how far it was.',
      labelNames: ['service', 'progress'],
      registers,
    });
    this.excludedRequests = new Counter({
      name: 'parsleywood_excluded_requests_total',
      help: 'Placements refused as all upstreams are evacuated or in other regions, by service and reason.',
      labelNames: ['service', 'reason'],
      registers,
    });
    this.firstByteSeconds = new Histogram({
      name: 'parsleywood_first_answer_seconds',
      help: 'Time from the request to the first byte of its answer.',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.storeCalls = new Counter({
      name: 'parsleywood_store_calls_total',
      help: 'Calls of the store, by kind and outcome.',
      labelNames: ['call', 'outcome'],
      registers,
    });
    this.siteDeltas = new Counter({
      name: 'parsleywood_site_deltas_total',
      help: 'Changes of the published state passed between hosts, by direction.',
      labelNames: ['direction'],
      registers,
    });
    this.upstreamRests = new Counter({
      name: 'parsleywood_upstream_rests_total',
      help: 'Rests that upstreams asked this host for, by service.',
      labelNames: ['service'],
      registers,
    });
    this.pathTests = new Counter({
      name: 'parsleywood_path_tests_total',
      help: 'Requests for the health path of an upstream by which this host tested its paths, by result.',
      labelNames: ['result'],
      registers,
    });
    this.loadReports = new Counter({
      name: 'parsleywood_load_reports_total',
      help: 'Reports of engines that this host asked for after its start, by result.',
      labelNames: ['result'],
      registers,
    });
    this.choicesWithoutView = new Counter({
      name: 'parsleywood_choices_without_view_total',
      help: 'Choices among engines whose load this host did not know as a whole, by service and outcome.',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.missingViews = new Gauge({
      name: 'parsleywood_missing_views',
      help: 'Services whose load this host does not know as a whole since its start.',
      registers,
    });
    this.pacedRefusals = new Counter({
      name: 'parsleywood_paced_refusals_total',
      help: 'Attempts not placed as upstreams that just started or recovered may hold no more, by service.',
      labelNames: ['service'],
      registers,
    });
    this.pacedUpstreams = new Gauge({
      name: 'parsleywood_paced_upstreams',
      help: 'Upstreams on probation since they started or recovered.',
      registers,
    });
    this.paceWindow = new Gauge({
      name: 'parsleywood_pace_window_requests',
      help: 'Requests that all hosts may hold at the upstreams on probation together.',
      registers,
    });
    this.restingUpstreams = new Gauge({
      name: 'parsleywood_resting_upstreams',
      help: 'Listed upstreams that get no request of this host as they asked for a rest.',
      registers,
    });
    this.leavingUpstreams = new Gauge({
      name: 'parsleywood_leaving_upstreams',
      help: 'Listed upstreams that have said in an answer that they leave.',
      registers,
    });
    this.openRequests = new Gauge({
      name: 'parsleywood_open_requests',
      help: 'Forwarded requests that have no final answer yet.',
      registers,
    });
    this.reachesUpstreams = new Gauge({
      name: 'parsleywood_reaches_upstreams',
      help: '0 while no upstream accepts connections of this host, or answers on them, else 1.',
      registers,
    });
    this.droppedLogLines = new Gauge({
      name: 'parsleywood_dropped_log_lines',
      help: 'Log lines dropped to stay within the bounds of the log.',
      registers,
    });
  }
}
