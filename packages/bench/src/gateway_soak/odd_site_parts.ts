const DEEP = 20_000;
const odd = {
  service: 'app',
  failureDomain: 'd0',
  stage: 'ready',
  slots: 16,
};

/** What a site file may hold by mistake. */
export const ODD_SITE_PARTS = {
  /** Upstreams that are well-formed and cannot be reached. */
  upstreams: [
    {...odd, id: 'odd-port', address: '127.0.0.1:70000'},
    {...odd, id: 'odd-octet', address: '999.0.0.1:80'},
    {...odd, id: 'odd-slots', address: '127.0.0.1:1', slots: 1e300},
  ],
  /** Files that cannot be read. */
  texts: [
    '{"version": ',
    `{"version": 1, "routes": ${'['.repeat(DEEP)}${']'.repeat(DEEP)}}`,
    '{"version": 1e999, "routes": [], "services": [], "upstreams": []}',
    '[]',
  ],
};
