import {expect} from 'chai';
import fc from 'fast-check';
import type {Configuration} from './configuration.js';
import {SiteReplica} from './site_replica.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamStage} from './upstream_stage.js';

function makeConfiguration(version: number): Configuration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return {version, routes: [], services: [], limits};
}

function makeUpstream(id: string, stage = UpstreamStage.READY): UpstreamEntry {
  return {
    id,
    service: 's',
    address: '10.0.0.1:1',
    failureDomain: 'd',
    stage,
    slots: 1,
  };
}

function listUsableIds(replica: SiteReplica, nowMs: number): string[] {
  return replica.upstreams.usable('s', nowMs).map(({id}) => id);
}

describe('SiteReplica', () => {
  it('never decreases revision or version, in whatever order updates arrive', () => {
    const step = fc.record({
      revision: fc.integer({min: 1, max: 30}),
      isSnapshot: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const replica = new SiteReplica();
        let revision = 0;
        let version = 0;
        for (const update of steps) {
          // A revision has the same configuration whether it comes from the
          // store or a peer.
          const change = {
            revision: update.revision,
            configuration: makeConfiguration(Math.ceil(update.revision / 3)),
          };
          if (update.isSnapshot) {
            replica.applySnapshot({...change, upstreams: []}, 0, false);
          } else {
            replica.applyChange(
              {...change, updated: [], removed: []},
              0,
              false,
            );
          }
          const currentVersion = replica.rules?.configuration.version ?? 0;
          expect(replica.revision).to.be.at.least(revision);
          expect(currentVersion).to.be.at.least(version);
          revision = replica.revision;
          version = currentVersion;
        }
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('excludes draining and removed upstreams from new work', () => {
    const replica = new SiteReplica();
    const upstreams = [makeUpstream('a'), makeUpstream('b'), makeUpstream('c')];
    replica.applySnapshot({revision: 1, upstreams}, 0, false);
    const updated = [makeUpstream('a', UpstreamStage.DRAINING)];
    replica.applyChange({revision: 2, updated, removed: ['b']}, 0, false);
    expect(listUsableIds(replica, 0)).to.deep.equal(['c']);
  });

  it('keeps an entry that may have expired usable for less than 2 s', () => {
    const replica = new SiteReplica();
    const upstreams = [makeUpstream('a'), makeUpstream('b')];
    replica.applySnapshot({revision: 1, upstreams}, 0, false);
    replica.applyChange({revision: 2, updated: [], removed: ['a']}, 0, true);
    expect(listUsableIds(replica, 1_000)).to.deep.equal(['b', 'a']);
    expect(listUsableIds(replica, 1_900)).to.deep.equal(['b']);
  });

  it('uses the new state of an entry that reappears', () => {
    const replica = new SiteReplica();
    replica.applySnapshot(
      {revision: 1, upstreams: [makeUpstream('a')]},
      0,
      false,
    );
    replica.applySnapshot({revision: 2, upstreams: []}, 0, true);
    const updated = [makeUpstream('a', UpstreamStage.DRAINING)];
    replica.applyChange({revision: 3, updated, removed: []}, 100, false);
    expect(listUsableIds(replica, 200)).to.deep.equal([]);
  });

  it('keeps the configuration when a later snapshot contains none', () => {
    const replica = new SiteReplica();
    replica.applySnapshot(
      {revision: 1, configuration: makeConfiguration(4), upstreams: []},
      0,
      false,
    );
    replica.applySnapshot({revision: 2, upstreams: []}, 0, false);
    expect(replica.createSnapshot().configuration?.version).to.equal(4);
  });
});
