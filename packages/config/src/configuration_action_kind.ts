/** Kinds of steps that the configuration logic asks its adapter to perform. */
export enum ConfigurationActionKind {
  WATCH = 'watch',
  READ = 'read',
  SEND = 'send',
  IN_FORCE = 'in_force',
  HOSTS = 'hosts',
  UPSTREAMS = 'upstreams',
  ALARM = 'alarm',
}
