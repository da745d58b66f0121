import {ErrorKind} from '@parsleywood/errors';
import {expect} from 'chai';
import {matchRequest} from './match_request.js';
import {SiteRules} from './site_rules.js';
import {createRoute} from './testing/create_route.js';

const ROUTE = createRoute({prefix: '/x/'});
const RULES = new SiteRules({
  version: 1,
  routes: [ROUTE, {...ROUTE, prefix: '/open/', allowsAnonymous: true}],
  services: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  accounts: [{name: 'shop', keys: ['k1', 'k2']}],
});

function findRejection(
  rules: SiteRules | undefined,
  target: string,
  key?: string,
): string {
  const result = matchRequest(rules, 'a.example', target, key);
  return result.isErr ? result.error.kind : 'accepted';
}

describe('matchRequest', () => {
  it('finds the account of an API key', () => {
    const result = matchRequest(RULES, 'a.example', '/x/1', 'k2');
    expect(result.isOk && result.value.account?.name).to.equal('shop');
  });

  it('rejects unknown and missing keys except on routes that allow anonymous requests', () => {
    expect(findRejection(RULES, '/x/1', 'k3')).to.equal(
      ErrorKind.UNAUTHENTICATED,
    );
    expect(findRejection(RULES, '/x/1')).to.equal(ErrorKind.UNAUTHENTICATED);
    expect(findRejection(RULES, '/open/1')).to.equal('accepted');
  });

  it('rejects a path without a route', () => {
    expect(findRejection(RULES, '/y/', 'k1')).to.equal(ErrorKind.NOT_FOUND);
  });

  it('reports the host as unavailable until a configuration is loaded', () => {
    expect(findRejection(undefined, '/x/1', 'k1')).to.equal(
      ErrorKind.HOST_UNAVAILABLE,
    );
  });
});
