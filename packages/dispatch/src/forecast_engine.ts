import type {DecodeRequest} from './decode_request.js';
import type {EngineForecast} from './engine_forecast.js';
import type {PassModel} from './pass_model.js';
import {PlacementPhase} from './placement_phase.js';
import type {PlacementRecord} from './placement_record.js';
import type {PrefillRequest} from './prefill_request.js';
import type {UpstreamPlacements} from './upstream_placements.js';
import {weighRequest} from './weigh_request.js';

/**
 * Estimates the load of an engine from the placements of all hosts, in one pass over
 * them: a decision forecasts each engine of the site.
 */
export function forecastEngine(
  upstream: string,
  {records, lastPrefillEndMs}: UpstreamPlacements,
  model: PassModel,
  slowdownFactor: number,
  nowMs: number,
): EngineForecast {
  const decodeRequests: DecodeRequest[] = [];
  const prefilling: PlacementRecord[] = [];
  let usedSlots = 0;
  let contextTokens = 0;
  let usedMemoryTokens = 0;
  for (const record of records) {
    const {placement} = record;
    const isAnswering = placement.upstream === upstream;
    if (isAnswering) usedSlots++;
    usedMemoryTokens += countMemoryTokens(record, upstream);
    if (record.phase !== PlacementPhase.DECODE) prefilling.push(record);
    else if (isAnswering) {
      contextTokens += placement.promptTokens + placement.answerTokens;
      decodeRequests.push(describeDecode(record));
    }
  }
  const passMs =
    slowdownFactor * model.passMs(decodeRequests.length, contextTokens);
  const prefillSinceMs = Math.max(
    lastPrefillEndMs,
    prefilling[0]?.placedAtMs ?? nowMs,
  );
  const prefillRequests: PrefillRequest[] = [];
  let prefillMs = 0;
  let nextPassPrefillMs = 0;
  for (const record of prefilling) {
    const partMs = slowdownFactor * estimatePrefillMs(record, upstream, model);
    const ageMs = nowMs - record.placedAtMs;
    prefillMs += partMs;
    if (ageMs < passMs) nextPassPrefillMs += partMs;
    prefillRequests.push({
      weight: weighPlacement(record),
      objectiveMs: record.placement.objectiveMs - ageMs,
    });
  }
  return {
    upstream,
    decodeRequests,
    prefillRequests,
    passMs,
    usedSlots,
    usedMemoryTokens,
    backlogMs: Math.max(0, prefillMs - (nowMs - prefillSinceMs)),
    nextPassPrefillMs,
    slowdownFactor,
  };
}

function describeDecode(record: PlacementRecord): DecodeRequest {
  const {placement, hasMissedPauseObjective} = record;
  return {
    weight: weighPlacement(record),
    pauseObjectiveMs: hasMissedPauseObjective
      ? Infinity
      : placement.pauseObjectiveMs,
  };
}

function estimatePrefillMs(
  {placement}: PlacementRecord,
  upstream: string,
  model: PassModel,
): number {
  const part = placement.parts.find(one => one.upstream === upstream);
  return part ? model.estimatePrefillMs(part.tokens, part.millionPairs) : 0;
}

function weighPlacement({placement}: PlacementRecord): number {
  return weighRequest(placement.promptTokens, placement.answerTokens);
}

/** KV cache that a placement uses at an engine; the answer counts at the first. */
function countMemoryTokens(
  {placement}: PlacementRecord,
  upstream: string,
): number {
  const part = placement.parts.find(one => one.upstream === upstream);
  const heldTokens = part?.heldTokens ?? 0;
  const isAnswering = placement.upstream === upstream;
  return isAnswering ? heldTokens + placement.answerTokens : heldTokens;
}
