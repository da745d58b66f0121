/** Kinds of steps that the configuration logic asks its adapter to perform. */
export enum ConfigurationActionKind {
  WATCH = 'watch',
  READ = 'read',
  SEND = 'send',
  APPLY_SETTINGS = 'in_force',
  APPLY_HOSTS = 'hosts',
  APPLY_UPSTREAMS = 'upstreams',
  RAISE_ALARM = 'alarm',
}
