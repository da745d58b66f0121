import type {EngineForecast} from '../engine_forecast.js';
import {idleEngine} from './describe_idle_engine.js';

/** Describes an engine that writes short answers whose pauses have an objective. */
export function writingEngine(
  upstream: string,
  writers: number,
  pauseObjectiveMs = 250,
): EngineForecast {
  const writer = {weight: 18_000, pauseObjectiveMs};
  return idleEngine(upstream, {
    writers: Array.from({length: writers}, () => writer),
    slotsTaken: writers,
    memoryTaken: writers * 6_000,
  });
}
