import type {EngineForecast} from './engine_forecast.js';
import type {HiddenLoad} from './hidden_load.js';
import {PassModel} from './pass_model.js';
import {weighRequest} from './weigh_request.js';

/**
 * Adds load that no known placement explains to a forecast. Its prompts are taken to be
 * of mean length. Their pauses have no objective: the hosts that sent them are gone.
 */
export function addHiddenLoad(
  forecast: EngineForecast,
  {runningRequests, waitingRequests, memoryTokens}: HiddenLoad,
  model: PassModel,
): EngineForecast {
  const {slowdownFactor} = forecast;
  const meanTokens =
    runningRequests > 0
      ? memoryTokens / runningRequests
      : model.profile.chunkTokens;
  const pairs = PassModel.countMillionPairs(meanTokens);
  const prefillMs = model.estimatePrefillMs(meanTokens, pairs);
  const addedPassMs =
    model.passMs(runningRequests, memoryTokens) - model.passMs(0, 0);
  const decodeRequests = Array.from({length: runningRequests}, () => ({
    weight: weighRequest(meanTokens, 0),
    pauseObjectiveMs: Infinity,
  }));
  return {
    ...forecast,
    decodeRequests: [...forecast.decodeRequests, ...decodeRequests],
    passMs: forecast.passMs + slowdownFactor * addedPassMs,
    usedSlots: forecast.usedSlots + runningRequests + waitingRequests,
    usedMemoryTokens: forecast.usedMemoryTokens + memoryTokens,
    backlogMs:
      forecast.backlogMs + slowdownFactor * waitingRequests * prefillMs,
  };
}
