import type {Service} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {PlacementRegistry} from './placement_registry.js';
import {ENGINE_PROFILE} from './testing/engine_profile.js';
import {UpstreamChooser} from './upstream_chooser.js';
import {UpstreamHealth} from './upstream_health.js';

const SERVICE: Service = {
  name: 's',
  engine: ENGINE_PROFILE,
};
const DEMAND = {
  promptTokens: 5_000,
  answerTokens: 1_300,
  objectiveMs: 300,
  callerTimeoutMs: 2_000,
};

const ENGINES = Array.from({length: 14}, (_, index) =>
  createUpstream(`engine-${index}`),
);

function makeChooser(
  host: string,
  health = new UpstreamHealth(),
): UpstreamChooser {
  return new UpstreamChooser(host, 'd', new PlacementRegistry(), health);
}

describe('UpstreamChooser', () => {
  // Load pattern: all hosts start at once, before any placement update arrives.
  it('spreads hosts without placement updates over different engines', () => {
    const hosts = Array.from({length: 9}, (_, index) => `host-${index}`);
    const chosen = hosts.map(host => {
      const chooser = makeChooser(host);
      const candidates = chooser.listCandidates(ENGINES, new Set(), 0);
      const choice = chooser.chooseEngines(candidates, SERVICE, DEMAND, 0);
      return 'upstream' in choice ? choice.upstream.id : '';
    });
    // An engine has 11 slots, so up to a third of the hosts may choose the same one.
    const counts = ENGINES.map(
      ({id}) => chosen.filter(one => one === id).length,
    );
    expect(Math.max(...counts)).to.be.at.most(hosts.length / 3);
  });

  it('excludes tried upstreams, and avoided ones while another is left', () => {
    const health = new UpstreamHealth();
    const chooser = makeChooser('h', health);
    const listIds = (tried: string[]): string[] =>
      chooser
        .listCandidates(ENGINES.slice(0, 3), new Set(tried), 0)
        .map(({id}) => id);
    health.recordFailure('engine-0', true, 0);
    expect(listIds(['engine-1'])).to.deep.equal(['engine-2']);
    expect(listIds(['engine-1', 'engine-2'])).to.deep.equal(['engine-0']);
  });

  // Load pattern: engines that start again and again, each time under a new id.
  it('keeps the order of listed upstreams alone, and keeps that order', () => {
    const chooser = makeChooser('h');
    const listIds = (): string[] =>
      chooser.listCandidates(ENGINES, new Set(), 0).map(({id}) => id);
    const before = listIds();
    for (let start = 0; start < 50; start++) {
      const restarted = createUpstream(`restarted-${start}`);
      chooser.listCandidates([...ENGINES, restarted], new Set(), 0);
      chooser.retain(new Set(ENGINES.map(({id}) => id)));
    }
    expect(chooser.size).to.equal(ENGINES.length);
    expect(listIds()).to.deep.equal(before);
  });
});
