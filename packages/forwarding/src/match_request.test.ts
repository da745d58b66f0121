import {ErrorKind} from '@parsleywood/errors';
import {expect} from 'chai';
import {matchRequest} from './match_request.js';
import {SiteRules} from './site_rules.js';
import {describeRoute} from './testing/describe_route.js';

const ROUTE = describeRoute({prefix: '/x/'});
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

function refusal(
  rules: SiteRules | undefined,
  target: string,
  key?: string,
): string {
  const result = matchRequest(rules, 'a.example', target, key);
  return result.isErr ? result.error.kind : 'passed';
}

describe('matchRequest', () => {
  it('finds the account of a key', () => {
    const result = matchRequest(RULES, 'a.example', '/x/1', 'k2');
    expect(result.isOk && result.value.account?.name).to.equal('shop');
  });

  it('refuses unknown keys and missing ones, but for open routes', () => {
    expect(refusal(RULES, '/x/1', 'k3')).to.equal(ErrorKind.UNAUTHENTICATED);
    expect(refusal(RULES, '/x/1')).to.equal(ErrorKind.UNAUTHENTICATED);
    expect(refusal(RULES, '/open/1')).to.equal('passed');
  });

  it('refuses a path without a route', () => {
    expect(refusal(RULES, '/y/', 'k1')).to.equal(ErrorKind.NOT_FOUND);
  });

  it('asks to come back while no configuration is known', () => {
    expect(refusal(undefined, '/x/1', 'k1')).to.equal(
      ErrorKind.HOST_UNAVAILABLE,
    );
  });
});
