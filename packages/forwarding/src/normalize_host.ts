/** Returns a host name in lower case, without its port. */
export function normalizeHost(host: string): string {
  return host.replace(/:\d*$/, '').toLowerCase();
}
