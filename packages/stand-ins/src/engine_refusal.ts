/** Why an engine refuses an attempt before running it. */
export enum EngineRefusal {
  MODEL_NOT_LOADED = 'model_not_loaded',
  DUPLICATE_ATTEMPT = 'duplicate_attempt',
  UNKNOWN_RESERVATION = 'unknown_reservation',
  LARGER_THAN_MEMORY = 'larger_than_memory',
  LEAVING = 'leaving',
  FULL = 'full',
}
