/** Faults that a soak test brings about. */
export enum SoakFaultKind {
  KILL_HOST = 'kill_host',
  PAUSE_HOST = 'pause_host',
  STOP_HOST = 'stop_host',
  CRASH_ENGINE = 'crash_engine',
  FREEZE_ENGINE = 'freeze_engine',
  SLOW_ENGINE = 'slow_engine',
  TRUNCATE_ANSWERS = 'truncate_answers',
  DUPLICATE_EVENTS = 'duplicate_events',
  CROSS_ANSWERS = 'cross_answers',
  DROP_END_EVENTS = 'drop_end_events',
  FREEZE_SERVICE = 'freeze_service',
  FAIL_AFTER_EXECUTION = 'fail_after_execution',
  FAIL_BEFORE_EXECUTION = 'fail_before_execution',
  PLATFORM_DOWN = 'platform_down',
  PLATFORM_STALE = 'platform_stale',
}
