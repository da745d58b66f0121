import {expect} from 'chai';
import type {Configuration} from './configuration.js';
import {DEFAULT_CALLER_LIMITS} from './default_caller_limits.js';
import {HomeRegions} from './home_regions.js';
import {createRoute} from './testing/create_route.js';

const REGIONS = {n1: 'north', n2: 'north', s1: 'south', e1: 'east'};
const HOSTS = ['n1', 's1', 'e1', 'unlisted'].map(failureDomain => ({
  failureDomain,
}));

function describeRoutes(
  ...homes: (readonly string[] | undefined)[]
): Configuration {
  const routes = homes.map(homeRegions =>
    createRoute({host: 'a.example', ...(homeRegions && {homeRegions})}),
  );
  return {version: 1, routes, services: [], limits: DEFAULT_CALLER_LIMITS};
}

describe('HomeRegions', () => {
  const regions = new HomeRegions(REGIONS);

  function select(configuration: Configuration, query: object): string[] {
    return regions
      .selectHosts(HOSTS, configuration, query)
      .map(({failureDomain}) => failureDomain);
  }

  it('does not send callers of a name with home regions to other regions', () => {
    const homes = describeRoutes(['north'], ['north', 'west']);
    const all = HOSTS.map(({failureDomain}) => failureDomain);
    expect(select(homes, {name: 'A.example:80'})).to.deep.equal(['n1']);
    expect(select(homes, {name: 'a.example', region: 'south'})).to.deep.equal([
      'n1',
      's1',
    ]);
    const fromDomain = {name: 'a.example', failureDomain: 'e1'};
    expect(select(homes, fromDomain)).to.deep.equal(['n1', 'e1']);
    expect(select(homes, {name: 'b.example'})).to.deep.equal(all);
    expect(select(homes, {})).to.deep.equal(all);
    const mixed = describeRoutes(['north'], undefined);
    expect(select(mixed, {name: 'a.example'})).to.deep.equal(all);
  });

  it('does not leave a caller without hosts where none is in its regions', () => {
    const far = describeRoutes(['west']);
    expect(select(far, {name: 'a.example'})).to.have.length(HOSTS.length);
    expect(regions.listUnknown(far)).to.deep.equal(['west']);
  });

  it('takes no name of an object for a failure domain', () => {
    const {routes} = describeRoutes(['north']);
    const [route = createRoute({})] = routes;
    const match = {route} as Parameters<HomeRegions['mayRun']>[0];
    expect(regions.mayRun(match, 'n2')).to.equal(true);
    expect(regions.mayRun(match, 'constructor')).to.equal(false);
    expect(new HomeRegions().mayRun(match, 'n2')).to.equal(false);
  });
});
