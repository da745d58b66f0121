import {EngineRefusal} from './engine_refusal.js';

/** HTTP status of each refusal. */
export const REFUSAL_STATUSES: Readonly<Record<EngineRefusal, number>> = {
  [EngineRefusal.MODEL_NOT_LOADED]: 404,
  [EngineRefusal.DUPLICATE_ATTEMPT]: 409,
  [EngineRefusal.UNKNOWN_RESERVATION]: 409,
  [EngineRefusal.LARGER_THAN_MEMORY]: 413,
  [EngineRefusal.LEAVING]: 503,
  [EngineRefusal.FULL]: 503,
};
