/** What a configuration ledger asks of its adapter. */
export enum ConfigurationActionKind {
  WATCH = 'watch',
  READ = 'read',
  SEND = 'send',
  IN_FORCE = 'in_force',
  HOSTS = 'hosts',
  UPSTREAMS = 'upstreams',
  ALARM = 'alarm',
}
