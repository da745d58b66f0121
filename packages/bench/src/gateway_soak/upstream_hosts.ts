/** Loopback hosts of upstreams: as listed, and as each gateway reaches them. */
export const UPSTREAM_HOSTS = {
  listed: '127.0.1.1',
  getFor: (gateway: number): string => `127.0.1.${gateway + 2}`,
  getGateway: (host = ''): number => Number(host.split('.')[3]) - 2,
};
