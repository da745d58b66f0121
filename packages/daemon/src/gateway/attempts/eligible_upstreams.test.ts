import {
  HomeRegions,
  SiteReplica,
  type RouteMatch,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import {createRoute, createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {EligibleUpstreams} from './eligible_upstreams.js';
import {ExclusionReason} from './exclusion_reason.js';

const POSITION = {epoch: 0, revision: 1};

describe('EligibleUpstreams', () => {
  let nowMs = 0;
  let draws = 0;
  let match: RouteMatch;
  const homeRegions = new HomeRegions({a: 'north'});
  const entries: UpstreamEntry[] = ['a', 'b'].map(failureDomain =>
    createUpstream(failureDomain, {failureDomain}),
  );

  function create(replica: SiteReplica, draw: number): EligibleUpstreams {
    const clock = {nowMs: () => nowMs, wallMs: () => nowMs};
    const drawNext = (): number => {
      draws++;
      return draw;
    };
    const context = {replica, homeRegions, clock, draw: drawNext};
    return new EligibleUpstreams(context, match, 's');
  }

  function listIds(replica: SiteReplica, draw: number): string[] {
    return create(replica, draw)
      .list()
      .map(({id}) => id);
  }

  beforeEach(() => {
    nowMs = 0;
    draws = 0;
    match = {route: createRoute({})} as RouteMatch;
  });

  it('does not move all requests away at once, nor any back', () => {
    const replica = new SiteReplica();
    replica.applySnapshot({...POSITION, upstreams: entries}, 0, false);
    expect(listIds(replica, 0.9)).to.deep.equal(['a', 'b']);
    expect(draws).to.equal(0);
    replica.evacuations.add('a', POSITION, 0, 0);
    nowMs = 1_000;
    expect(listIds(replica, 0.4)).to.deep.equal(['a', 'b']);
    expect(listIds(replica, 0.6)).to.deep.equal(['b']);
    const waiting = create(replica, 0.4);
    expect(waiting.list()).to.have.length(2);
    expect(waiting.isAnyEvacuated(entries)).to.equal(false);
    nowMs = 2_000;
    expect(waiting.list()).to.have.length(1);
    expect(waiting.isAnyEvacuated(entries)).to.equal(true);
  });

  it('tells an evacuation from a service without upstreams', () => {
    const replica = new SiteReplica();
    const evacuated = create(replica, 0);
    expect(evacuated.findExclusion()).to.equal(undefined);
    const domains = {upstreams: entries, evacuatedDomains: ['a', 'b']};
    replica.applySnapshot({...POSITION, ...domains}, 0, false);
    expect(evacuated.findExclusion()).to.equal(ExclusionReason.EVACUATED);
  });

  it('finds no upstream outside of the home regions, nor in a domain without region', () => {
    const replica = new SiteReplica();
    replica.applySnapshot({...POSITION, upstreams: entries}, 0, false);
    match = {...match, route: createRoute({homeRegions: ['north', 'south']})};
    expect(listIds(replica, 0)).to.deep.equal(['a']);
    const account = {name: 'mill', keys: [], homeRegions: ['south']};
    match = {...match, account};
    expect(listIds(replica, 0)).to.deep.equal([]);
    const {HOME_REGIONS} = ExclusionReason;
    expect(create(replica, 0).findExclusion()).to.equal(HOME_REGIONS);
  });
});
