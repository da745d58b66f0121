/** Kinds of configuration problems reported to operators. */
export enum ConfigurationProblemKind {
  /** A published list is invalid; the last valid one stays active. */
  LIST_REFUSED = 'list_refused',
  /** Base merged with overlay is invalid; the last valid pair stays active. */
  SETTINGS_REFUSED = 'settings_refused',
  /** The service returned a revision older than one this host already knows. */
  SERVICE_STALE = 'service_stale',
  /** Neither this host nor a peer had a confirmation of a key for too long. */
  SERVICE_SILENT = 'service_silent',
}
