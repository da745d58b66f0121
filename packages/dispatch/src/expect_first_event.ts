import {estimatePrefillTiming} from './estimate_prefill_timing.js';
import type {ExpectedEvent} from './expected_event.js';
import {forecastEngine} from './forecast_engine.js';
import type {PassModel} from './pass_model.js';
import type {Placement} from './placement.js';
import type {PlacementRegistry} from './placement_registry.js';

/** Factor of the forecast up to which a first event is in time. */
const IN_TIME_FACTOR = 1.5;
/**
 * Time by which messages of other hosts may arrive later than the one before. Without
 * it, forecasts of a few milliseconds could never be met.
 */
const MESSAGE_DELAY_MS = 50;
/** Shortest forecast; shorter ones would exaggerate a measured slowdown. */
const MIN_FORECAST_MS = 20;
/** Time for an answer of a plain service whose objective is missing or past. */
const DEFAULT_OBJECTIVE_MS = 1_000;

/**
 * Expects the first event of a placement that is not in the registry yet, at the speed
 * that the service publishes. A slowdown that only this host has measured is left out,
 * so that all hosts judge the event alike.
 *
 * @param model Undefined for a plain service, which is judged by the objective.
 */
export function expectFirstEvent(
  {parts, objectiveMs, pauseObjectiveMs}: Placement,
  placements: PlacementRegistry,
  model: PassModel | undefined,
  nowMs: number,
): ExpectedEvent {
  const endsWithAnswer = !Number.isFinite(pauseObjectiveMs);
  if (model === undefined || endsWithAnswer) {
    const isUsable = objectiveMs > 0 && Number.isFinite(objectiveMs);
    const limitMs = isUsable ? objectiveMs : DEFAULT_OBJECTIVE_MS;
    return {limitMs, partsMs: new Map(), workMs: 0, endsWithAnswer};
  }
  const timings = parts.map(({upstream, tokens, millionPairs}) => {
    const open = placements.getUpstreamPlacements(upstream, nowMs);
    const engine = forecastEngine(upstream, open, model, 1, nowMs);
    return estimatePrefillTiming(engine, model, tokens, millionPairs);
  });
  const finishesMs = timings.map(({finishMs}) => finishMs);
  // The answer to a split prompt begins with the pass after its last part.
  const joinMs = parts.length > 1 ? model.passMs(0, 0) : 0;
  const forecastMs = Math.max(MIN_FORECAST_MS, ...finishesMs) + joinMs;
  const workMs = Math.max(...timings.map(({prefillMs}) => prefillMs));
  const limitMs = IN_TIME_FACTOR * forecastMs + MESSAGE_DELAY_MS;
  const partsMs = new Map(
    parts.map(({upstream}, index) => [upstream, finishesMs[index] ?? 0]),
  );
  return {forecastMs, limitMs, partsMs, workMs, endsWithAnswer};
}
