/** What operators have to know about the configuration. */
export enum ConfigurationProblemKind {
  /** A published list was refused; the last good one stays in force. */
  LIST_REFUSED = 'list_refused',
  /** Base and overlay together were refused; the last good ones stay. */
  SETTINGS_REFUSED = 'settings_refused',
  /** The service serves a revision below one that was seen before. */
  SERVICE_STALE = 'service_stale',
  /** The service has confirmed nothing for long, here or to a peer. */
  SERVICE_SILENT = 'service_silent',
}
