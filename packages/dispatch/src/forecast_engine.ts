import type {EngineForecast} from './engine_forecast.js';
import type {PassModel} from './pass_model.js';
import {PlacementPhase} from './placement_phase.js';
import type {PlacementRecord} from './placement_record.js';
import type {UpstreamPlacements} from './upstream_placements.js';
import {weighRequest} from './weigh_request.js';

/** Estimates the load of an engine from the placements of all hosts. */
export function forecastEngine(
  upstream: string,
  placements: UpstreamPlacements,
  model: PassModel,
  slowdownFactor: number,
  nowMs: number,
): EngineForecast {
  const {records} = placements;
  const answered = records.filter(
    ({placement}) => placement.upstream === upstream,
  );
  const decoding = answered.filter(isDecoding);
  const prefilling = records.filter(record => !isDecoding(record));
  const prefillMs = (record: PlacementRecord): number =>
    slowdownFactor * estimatePrefillMs(record, upstream, model);
  const passMs =
    slowdownFactor *
    model.passMs(decoding.length, sum(decoding, countContextTokens));
  const prefillSinceMs = Math.max(
    placements.lastPrefillEndMs,
    prefilling[0]?.placedAtMs ?? nowMs,
  );
  const isNew = ({placedAtMs}: PlacementRecord): boolean =>
    nowMs - placedAtMs < passMs;
  return {
    upstream,
    decodeRequests: decoding.map(({placement, hasMissedPauseObjective}) => ({
      weight: weighPlacement(placement),
      pauseObjectiveMs: hasMissedPauseObjective
        ? Infinity
        : placement.pauseObjectiveMs,
    })),
    prefillRequests: prefilling.map(({placement, placedAtMs}) => ({
      weight: weighPlacement(placement),
      objectiveMs: placement.objectiveMs - (nowMs - placedAtMs),
    })),
    passMs,
    usedSlots: answered.length,
    usedMemoryTokens: sum(records, record =>
      countMemoryTokens(record, upstream),
    ),
    backlogMs: Math.max(
      0,
      sum(prefilling, prefillMs) - (nowMs - prefillSinceMs),
    ),
    nextPassPrefillMs: sum(prefilling.filter(isNew), prefillMs),
    slowdownFactor,
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

function isDecoding(record: PlacementRecord): boolean {
  return record.phase === PlacementPhase.DECODE;
}

function weighPlacement(placement: PlacementRecord['placement']): number {
  return weighRequest(placement.promptTokens, placement.answerTokens);
}

function countContextTokens({placement}: PlacementRecord): number {
  return placement.promptTokens + placement.answerTokens;
}

/** KV cache that a placement uses at an engine; the answer counts at the first. */
function countMemoryTokens(record: PlacementRecord, upstream: string): number {
  const {placement} = record;
  const part = placement.parts.find(one => one.upstream === upstream);
  const heldTokens = part?.heldTokens ?? 0;
  const isAnswering = placement.upstream === upstream;
  return isAnswering ? heldTokens + placement.answerTokens : heldTokens;
}

function sum(
  records: readonly PlacementRecord[],
  count: (record: PlacementRecord) => number,
): number {
  return records.reduce((total, record) => total + count(record), 0);
}
