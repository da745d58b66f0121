import {expect} from 'chai';
import {createUpstream} from './testing/create_upstream.js';
import {UpstreamRegistry} from './upstream_registry.js';

const SERVICE = createUpstream('a').service;

describe('LeavingUpstreams', () => {
  const entry = {...createUpstream('a'), bornMs: 5, revision: 1};

  function listUsable(registry: UpstreamRegistry): string[] {
    return registry.usable(SERVICE, 0).map(({id}) => id);
  }

  it('are unused whatever the store says, until they start anew', () => {
    const registry = new UpstreamRegistry();
    registry.replace([entry], 0, false);
    expect(listUsable(registry)).to.deep.equal(['a']);
    expect(registry.leaving.record('a', 5)).to.equal(true);
    expect(registry.leaving.record('a', 5)).to.equal(false);
    for (const change of [
      () => undefined,
      () => {
        registry.write(entry, 0);
      },
      () => {
        registry.remove('a', 0, true);
      },
      () => {
        registry.rebase([entry], 0);
      },
      () => {
        registry.replace([{...entry, revision: 2}], 0, false);
      },
    ]) {
      change();
      expect(listUsable(registry)).to.deep.equal([]);
    }
    registry.write({...entry, bornMs: 6}, 0);
    expect(listUsable(registry)).to.deep.equal(['a']);
    expect(registry.leaving.record('a', 5)).to.equal(false);
    expect(listUsable(registry)).to.deep.equal(['a']);
  });

  it('may leave before they are listed, and without a known start', () => {
    const registry = new UpstreamRegistry();
    registry.leaving.record('a', 0);
    registry.write(createUpstream('a'), 0);
    expect(listUsable(registry)).to.deep.equal([]);
    expect(registry.leaving.list()).to.deep.equal([{id: 'a', bornMs: 0}]);
  });
});
