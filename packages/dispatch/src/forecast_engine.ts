import type {EngineForecast} from './engine_forecast.js';
import type {PassModel} from './pass_model.js';
import {PlacementPhase} from './placement_phase.js';
import type {PlacementRecord} from './placement_record.js';
import type {UpstreamWork} from './upstream_work.js';

/** Forecasts what an engine is doing from what hosts have placed there. */
export function forecastEngine(
  upstream: string,
  work: UpstreamWork,
  model: PassModel,
  slowness: number,
  nowMs: number,
): EngineForecast {
  const own = work.records.filter(
    ({placement}) => placement.upstream === upstream,
  );
  const writing = own.filter(isWriting);
  const contextTokens = sum(writing, countTokens);
  const reading = work.records.filter(record => !isWriting(record));
  const readMs = sum(reading, record => {
    const part = record.placement.parts.find(one => one.upstream === upstream);
    if (part === undefined) return 0;
    const {tokens, millionPairs} = part;
    return model.readBesideMs(
      tokens,
      millionPairs,
      writing.length,
      contextTokens,
    );
  });
  const sinceMs = Math.max(work.lastReadEndMs, reading[0]?.placedAtMs ?? nowMs);
  return {
    upstream,
    writers: writing.length,
    contextTokens,
    slotsTaken: own.length,
    memoryTaken: sum(own, countTokens),
    backlogMs: Math.max(0, readMs * slowness - (nowMs - sinceMs)),
    readers: reading.length,
    slowness,
  };
}

function isWriting(record: PlacementRecord): boolean {
  return record.phase === PlacementPhase.WRITING;
}

function countTokens({placement}: PlacementRecord): number {
  return placement.promptTokens + placement.answerTokens;
}

function sum(
  records: readonly PlacementRecord[],
  count: (record: PlacementRecord) => number,
): number {
  return records.reduce((total, record) => total + count(record), 0);
}
