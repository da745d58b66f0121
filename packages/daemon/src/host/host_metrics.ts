import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

const FIRST_TOKEN_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.3, 2, 5, 10, 30, 60, 300,
];

/** Prometheus metrics of one host process, in their own registry. */
export class HostMetrics {
  readonly registry = new Registry();

  readonly firstTokenSeconds = new Histogram({
    name: 'parsleywood_first_token_seconds',
    help: 'Time from the request to its first token.',
    labelNames: ['model', 'length_class'],
    buckets: FIRST_TOKEN_BUCKETS_S,
    registers: [this.registry],
  });

  readonly requests = new Counter({
    name: 'parsleywood_requests_total',
    help: 'Requests concluded, by outcome: ok or an error kind.',
    labelNames: ['call', 'outcome'],
    registers: [this.registry],
  });

  readonly retries = new Counter({
    name: 'parsleywood_retries_total',
    help: 'Attempts beyond the first, by the fault of the one before.',
    labelNames: ['fault'],
    registers: [this.registry],
  });

  readonly suspectUpdates = new Counter({
    name: 'parsleywood_suspect_updates_total',
    help: 'Changes of the crash status of requests, by status and source.',
    labelNames: ['status', 'source'],
    registers: [this.registry],
  });

  readonly droppedEvents = new Counter({
    name: 'parsleywood_dropped_answer_events_total',
    help: 'Late, crossed or repeated answer events that were dropped.',
    registers: [this.registry],
  });

  readonly inFlight = new Gauge({
    name: 'parsleywood_requests_in_flight',
    help: 'Requests that have no final answer yet.',
    registers: [this.registry],
  });

  readonly queued = new Gauge({
    name: 'parsleywood_requests_queued',
    help: 'Requests that wait for admission.',
    registers: [this.registry],
  });

  readonly upstreamUsable = new Gauge({
    name: 'parsleywood_upstream_usable',
    help: 'Whether this host sends new work to the upstream.',
    labelNames: ['upstream'],
    registers: [this.registry],
  });

  readonly configurationRevision = new Gauge({
    name: 'parsleywood_configuration_revision',
    help: 'Revision of each configuration value in force.',
    labelNames: ['key'],
    registers: [this.registry],
  });

  readonly configurationAge = new Gauge({
    name: 'parsleywood_configuration_confirmed_age_seconds',
    help: 'Time since the configuration service last answered.',
    registers: [this.registry],
  });

  readonly orders = new Counter({
    name: 'parsleywood_orders_total',
    help: 'Orders concluded at this host, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  readonly peerMessages = new Counter({
    name: 'parsleywood_peer_messages_total',
    help: 'Messages sent to and received from other hosts, by kind.',
    labelNames: ['direction', 'kind'],
    registers: [this.registry],
  });

  readonly peerMessageBytes = new Counter({
    name: 'parsleywood_peer_message_bytes_total',
    help: 'Encoded bytes of these messages, without the transport.',
    labelNames: ['direction', 'kind'],
    registers: [this.registry],
  });

  readonly peerSocketBytes = new Gauge({
    name: 'parsleywood_peer_socket_bytes',
    help: 'Bytes of the connections that other hosts opened to this one.',
    labelNames: ['direction'],
    registers: [this.registry],
  });

  readonly platformCalls = new Counter({
    name: 'parsleywood_platform_calls_total',
    help: 'Calls of the configuration service, by read or watch and outcome.',
    labelNames: ['call', 'outcome'],
    registers: [this.registry],
  });

  readonly loadPolls = new Counter({
    name: 'parsleywood_load_polls_total',
    help: 'Load reports asked of engines, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({register: this.registry});
  }
}
