import {expect} from 'chai';
import fc from 'fast-check';
import {compareSnapshots} from './compare_snapshots.js';
import type {SiteDelta} from './site_delta.js';
import {SiteDeltaLog} from './site_delta_log.js';
import {SiteReplica} from './site_replica.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamStage} from './upstream_stage.js';

function buildUpstream(index: number, revision: number): UpstreamEntry {
  return {
    id: `u${index}`,
    service: 's',
    address: `10.0.0.${index}:${revision}`,
    failureDomain: 'd',
    stage: UpstreamStage.READY,
    slots: 1,
    revision,
  };
}

function buildDelta(fromRevision: number, revision: number): SiteDelta {
  return {
    epoch: 1,
    fromRevision,
    revision,
    mayHaveExpired: false,
    updated: [],
    removed: [],
  };
}

describe('SiteDeltaLog', () => {
  it('lists what follows a position, and nothing when it does not reach back', () => {
    const log = new SiteDeltaLog();
    for (const [from, to] of [
      [3, 5],
      [5, 6],
      [6, 9],
    ] as const) {
      log.add(buildDelta(from, to), 0);
    }
    const list = (revision: number): number[] | undefined =>
      log.listSince({epoch: 1, revision}, 0)?.map(delta => delta.revision);
    expect(list(2)).to.equal(undefined);
    expect(list(3)).to.deep.equal([5, 6, 9]);
    expect(list(5)).to.deep.equal([6, 9]);
    expect(list(7)).to.deep.equal([9]);
    expect(list(9)).to.equal(undefined);
    expect(log.listSince({epoch: 0, revision: 5}, 0)).to.equal(undefined);
  });

  it('keeps the newest configuration alone, which every lagging peer gets', () => {
    const limits = {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    };
    const log = new SiteDeltaLog();
    for (let revision = 1; revision <= 9; revision++) {
      const isPublished = revision % 3 === 0;
      const configuration = {
        version: revision,
        routes: [],
        services: [],
        limits,
      };
      log.add(
        {
          ...buildDelta(revision - 1, revision),
          ...(isPublished && {configuration}),
        },
        0,
      );
    }
    log.add(buildDelta(9, 10), 0);
    const deltas = log.listSince({epoch: 1, revision: 0}, 0) ?? [];
    expect(
      deltas.flatMap(({configuration}) => configuration?.version ?? []),
    ).to.deep.equal([9]);
    const peer = new SiteReplica();
    peer.applySnapshot({epoch: 1, revision: 1, upstreams: []}, 0, false);
    for (const delta of deltas) peer.applyChange(delta, 0, false);
    expect([peer.version, peer.position.revision]).to.deep.equal([9, 10]);
  });

  it('starts anew after a gap', () => {
    const log = new SiteDeltaLog();
    log.add(buildDelta(1, 2), 0);
    log.add(buildDelta(5, 6), 0);
    expect(log.listSince({epoch: 1, revision: 1}, 0)).to.equal(undefined);
    expect(log.listSince({epoch: 1, revision: 5}, 0)).to.have.length(1);
  });

  it('brings a peer to the state of the host, however many changes it missed', () => {
    const write = fc.record({
      index: fc.integer({min: 0, max: 5}),
      isRemoved: fc.boolean(),
      isRead: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(write, {minLength: 1, maxLength: 40}),
        fc.nat(),
        (writes, at) => {
          const published = new Map<string, UpstreamEntry>();
          const host = new SiteReplica();
          const peer = new SiteReplica();
          const log = new SiteDeltaLog();
          const joinsAt = at % writes.length;
          writes.forEach(({index, isRemoved, isRead}, position) => {
            const revision = position + 1;
            if (isRemoved) published.delete(`u${index}`);
            else published.set(`u${index}`, buildUpstream(index, revision));
            const upstreams = [...published.values()];
            const snapshot = {epoch: 0, revision, upstreams};
            if (position === joinsAt) peer.applySnapshot(snapshot, 0, false);
            if (!isRead && position !== joinsAt) return;
            const known = host.createSnapshot(0);
            host.applySnapshot(snapshot, 0, false);
            log.add(
              {
                ...compareSnapshots(known, snapshot),
                fromRevision: known.revision,
                mayHaveExpired: false,
              },
              0,
            );
          });
          for (const delta of log.listSince(peer.position, 0) ?? []) {
            peer.applyChange(delta, 0, false);
          }
          const sort = (replica: SiteReplica): UpstreamEntry[] =>
            replica.upstreams
              .list()
              .sort((left, right) => (left.id < right.id ? -1 : 1));
          expect(peer.position).to.deep.equal(host.position);
          expect(sort(peer)).to.deep.equal(sort(host));
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });
});
