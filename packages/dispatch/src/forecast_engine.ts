import type {EngineForecast} from './engine_forecast.js';
import type {PassModel} from './pass_model.js';
import {PlacementPhase} from './placement_phase.js';
import type {PlacementRecord} from './placement_record.js';
import type {UpstreamWork} from './upstream_placements.js';
import {weighRequest} from './weigh_request.js';

/** Forecasts what an engine is doing from what hosts have placed there. */
export function forecastEngine(
  upstream: string,
  work: UpstreamWork,
  model: PassModel,
  slowness: number,
  nowMs: number,
): EngineForecast {
  const {records} = work;
  const own = records.filter(({placement}) => placement.upstream === upstream);
  const writing = own.filter(isWriting);
  const reading = records.filter(record => !isWriting(record));
  const readMs = (record: PlacementRecord): number =>
    slowness * readTime(record, upstream, model);
  const passMs =
    slowness * model.passMs(writing.length, sum(writing, countTokens));
  const sinceMs = Math.max(work.lastReadEndMs, reading[0]?.placedAtMs ?? nowMs);
  const isNew = ({placedAtMs}: PlacementRecord): boolean =>
    nowMs - placedAtMs < passMs;
  return {
    upstream,
    writers: writing.map(({placement, hasPaused}) => ({
      weight: weigh(placement),
      pauseObjectiveMs: hasPaused ? Infinity : placement.pauseObjectiveMs,
    })),
    readers: reading.map(({placement, placedAtMs}) => ({
      weight: weigh(placement),
      objectiveMs: placement.objectiveMs - (nowMs - placedAtMs),
    })),
    passMs,
    slotsTaken: own.length,
    memoryTaken: sum(records, record => countMemory(record, upstream)),
    backlogMs: Math.max(0, sum(reading, readMs) - (nowMs - sinceMs)),
    nextPassReadMs: sum(reading.filter(isNew), readMs),
    slowness,
  };
}

function readTime(
  {placement}: PlacementRecord,
  upstream: string,
  model: PassModel,
): number {
  const part = placement.parts.find(one => one.upstream === upstream);
  return part ? model.readMs(part.tokens, part.millionPairs) : 0;
}

function isWriting(record: PlacementRecord): boolean {
  return record.phase === PlacementPhase.WRITING;
}

function weigh(placement: PlacementRecord['placement']): number {
  return weighRequest(placement.promptTokens, placement.answerTokens);
}

function countTokens({placement}: PlacementRecord): number {
  return placement.promptTokens + placement.answerTokens;
}

/** Tokens of memory that a placement takes at an engine. */
function countMemory(record: PlacementRecord, upstream: string): number {
  const {placement} = record;
  const part = placement.parts.find(one => one.upstream === upstream);
  const held = part?.heldTokens ?? 0;
  const isFirst = placement.upstream === upstream;
  return isFirst ? held + placement.answerTokens : held;
}

function sum(
  records: readonly PlacementRecord[],
  count: (record: PlacementRecord) => number,
): number {
  return records.reduce((total, record) => total + count(record), 0);
}
