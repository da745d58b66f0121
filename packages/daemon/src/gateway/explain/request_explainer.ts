import {
  PassModel,
  type EngineForecast,
  type PromptDemand,
  type UpstreamChoice,
} from '@parsleywood/dispatch';
import {ERROR_RESPONSES, ErrorKind, Failure} from '@parsleywood/errors';
import {
  matchRequest,
  type RouteMatch,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {
  ExplainedChoice,
  ExplainedInputs,
  ExplainedRefusal,
  Explanation,
} from '@parsleywood/schema/explanation';
import {createCrashFailure} from '../../callers/create_crash_failure.js';
import {AttemptChooser} from '../attempts/attempt_chooser.js';
import {AttemptPlacer} from '../attempts/attempt_placer.js';
import {createCapacityFailure} from '../attempts/create_capacity_failure.js';
import {describeDemand} from '../attempts/describe_demand.js';
import {EligibleUpstreams} from '../attempts/eligible_upstreams.js';
import {ReturnPlanner} from '../attempts/return_planner.js';
import {computeTimeLimit} from '../callers/compute_time_limit.js';
import type {GatewayServer} from '../callers/gateway_server.js';
import type {RequestMetadata} from '../callers/request_metadata.js';
import type {GatewayContext} from '../gateway_context.js';
import type {FleetMembership} from '../fleet/fleet_membership.js';
import type {SiteUpdater} from '../site/site_updater.js';
import {describeConsidered} from './describe_considered.js';
import {describeInputs} from './describe_inputs.js';
import {listConsidered} from './list_considered.js';
import {readExplainQuery} from './read_explain_query.js';
import type {StillContext} from './still_context.js';

/** Random number that gives the earliest Retry-After and the first of equals. */
const NO_SPREAD = 0;
const EMPTY_BODY = Buffer.alloc(0);

/**
 * Explains where a request would go now. It runs the code that places requests, on
 * copies of what that code changes. Load pattern: operators ask, while a site is
 * overloaded, why requests are refused or sent to a slow upstream.
 */
export class RequestExplainer {
  /**
   * @param host Name of this host.
   * @param server Says which requests are left to other hosts.
   */
  constructor(
    private readonly host: string,
    private readonly context: GatewayContext,
    private readonly server: Pick<GatewayServer, 'findRefusal'>,
    private readonly siteUpdater: Pick<SiteUpdater, 'getStoreAgeMs'>,
    private readonly fleet: Pick<FleetMembership, 'listSightings'>,
  ) {}

  /** @throws Failure if the query is invalid. */
  explain(query: Readonly<Record<string, unknown>>): Explanation {
    const {headerNames, replica, planStartRetryMs} = this.context;
    const {metadata, service} = readExplainQuery(query, headerNames);
    const match = matchRequest(
      replica.rules,
      metadata.host,
      metadata.target,
      metadata.accountKey,
      replica.rules ? undefined : planStartRetryMs(NO_SPREAD),
    );
    const common = {host: this.host, inputs: this.describeInputs()};
    if (match.isErr) {
      const refusal = describeRefusal(match.error);
      return {...common, upstreams: [], refusal};
    }
    const {route, account} = match.value;
    return {
      ...common,
      route: route.name,
      targets: route.targets.map(({service, weight}) => ({service, weight})),
      ...(account && {account: account.name}),
      ...this.explainMatch(match.value, metadata, service),
    };
  }

  private describeInputs(): ExplainedInputs {
    return describeInputs(
      this.context,
      this.siteUpdater.getStoreAgeMs(),
      this.fleet.listSightings().map(({heardAtMs}) => heardAtMs),
    );
  }

  private explainMatch(
    match: RouteMatch,
    metadata: RequestMetadata,
    chosenService: string | undefined,
  ): Omit<Explanation, 'host' | 'inputs'> {
    const nowMs = this.context.clock.nowMs();
    const context = this.createStillContext(nowMs);
    const deadlineMs = nowMs + computeTimeLimit(metadata, match.route);
    const name = findService(match, chosenService);
    const request = {
      metadata,
      headers: [],
      body: EMPTY_BODY,
      receivedAtMs: nowMs,
    };
    const placer = new AttemptPlacer(context, match, request, name, deadlineMs);
    const service = match.rules.findService(name);
    const demand = describeDemand(
      match,
      service,
      request,
      deadlineMs,
      undefined,
      nowMs,
    );
    const eligible = new EligibleUpstreams(context, match, name);
    const chooser = new AttemptChooser(context, eligible);
    const candidates = chooser.listCandidates(new Set(), nowMs);
    const considered = listConsidered(candidates, name, match, context, nowMs);
    // Forecasts are the costly part of a placement, so each is made once.
    const forecast = (entries: readonly UpstreamEntry[]): EngineForecast[] =>
      service?.engine === undefined
        ? []
        : context.chooser.forecastEngines(
            entries,
            new PassModel(service.engine),
            nowMs,
          );
    const forecasts = forecast(candidates);
    const choice = chooser.chooseAmong(
      candidates,
      service,
      demand,
      nowMs,
      forecasts,
    );
    const upstreams = describeConsidered(
      considered,
      [...forecasts, ...forecast(considered.excluded.map(({entry}) => entry))],
      service,
      demand,
      context,
      nowMs,
    );
    const failure =
      this.server.findRefusal(match, deadlineMs) ??
      this.findCrashFailure(metadata);
    const result = {service: name, demand: roundDemand(demand), upstreams};
    if (failure !== undefined) {
      return {...result, refusal: describeRefusal(failure)};
    }
    if ('upstream' in choice) {
      return {...result, choice: describeChoice(choice, demand.objectiveMs)};
    }
    const returns = new ReturnPlanner(context, eligible, name);
    const {waitMs} = returns.preview(choice, nowMs);
    const refusal = describeRefusal(createCapacityFailure(placer, waitMs));
    const wait = waitMs > 0 && {waitMs: Math.ceil(waitMs)};
    return {...result, refusal: {...refusal, ...wait}};
  }

  /** Copies the context such that plans neither count as sent nor draw. */
  private createStillContext(nowMs: number): StillContext {
    const {context} = this;
    const pace = context.pacing.preview(nowMs);
    const draw = (): number => NO_SPREAD;
    return {
      ...context,
      draw,
      pace,
      chooser: context.chooser.withPace(pace),
      limits: context.limits.copy(draw),
      rests: context.rests.copy(draw),
    };
  }

  /** Returns the failure of prompts whose parts crash upstreams; bodies are not known. */
  private findCrashFailure({
    promptParts,
  }: RequestMetadata): Failure | undefined {
    const block = this.context.suspects.findBlock({
      name: '',
      body: EMPTY_BODY,
      scopes: [],
      parts: promptParts,
    });
    return block && createCrashFailure(block, promptParts);
  }
}

/** Returns the service asked for, or the one that gets most requests of the route. */
function findService(
  {route: {name, targets}}: RouteMatch,
  chosen: string | undefined,
): string {
  if (chosen === undefined) {
    const [first] = [...targets].sort((a, b) => b.weight - a.weight);
    return first?.service ?? '';
  }
  if (targets.some(({service}) => service === chosen)) return chosen;
  const allowed = targets.map(({service}) => service).join(', ');
  const message = `service "${chosen}" is not of route ${name}, allowed: ${allowed}`;
  throw new Failure(ErrorKind.INVALID_REQUEST, message);
}

function describeChoice(
  {upstream, helpers, plan}: UpstreamChoice,
  objectiveMs: number,
): ExplainedChoice {
  return {
    upstream: upstream.id,
    helpers: helpers.map(({id}) => id),
    ...(plan && {expectedMs: Math.round(plan.expectedMs)}),
    objectiveMs: Math.round(objectiveMs),
  };
}

function describeRefusal({
  kind,
  message,
  retryAfterMs,
}: Failure): ExplainedRefusal {
  const {status} = ERROR_RESPONSES[kind];
  const retryAfter = retryAfterMs !== undefined && {
    retryAfterMs: Math.ceil(retryAfterMs),
  };
  return {status, kind, message, ...retryAfter};
}

function roundDemand(demand: PromptDemand): PromptDemand {
  return {
    ...demand,
    objectiveMs: Math.round(demand.objectiveMs),
    callerTimeoutMs: Math.round(demand.callerTimeoutMs),
  };
}
