import {expect} from 'chai';
import fc from 'fast-check';
import {comparePositions} from './compare_positions.js';
import type {Configuration} from './configuration.js';
import {SiteReplica} from './site_replica.js';
import type {SiteSnapshot} from './site_snapshot.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamPresence} from './upstream_presence.js';
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

const configuration = makeConfiguration(7);
/** Time for which upstreams that left are not used, whatever the store lists. */
const HOLD_MS = 10_000;

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
            epoch: 0,
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
          expect(replica.position.revision).to.be.at.least(revision);
          expect(currentVersion).to.be.at.least(version);
          revision = replica.position.revision;
          version = currentVersion;
        }
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('does not count a change as known that cannot be applied', () => {
    const replica = new SiteReplica();
    const change = {epoch: 0, revision: 5, updated: [], removed: []};
    const odd = {...change, removed: 0 as unknown as string[]};
    expect(() => replica.applyChange(odd, 0, false)).to.throw(TypeError);
    expect(replica.position.revision).to.equal(0);
    replica.applyChange(change, 0, false);
    expect(replica.position.revision).to.equal(5);
  });

  it('excludes draining and removed upstreams from new work', () => {
    const replica = new SiteReplica();
    const upstreams = [makeUpstream('a'), makeUpstream('b'), makeUpstream('c')];
    replica.applySnapshot({epoch: 0, revision: 1, upstreams}, 0, false);
    const updated = [makeUpstream('a', UpstreamStage.DRAINING)];
    replica.applyChange(
      {epoch: 0, revision: 2, updated, removed: ['b']},
      0,
      false,
    );
    expect(listUsableIds(replica, 0)).to.deep.equal(['c']);
  });

  it('keeps an entry that may have expired usable for less than 2 s', () => {
    const replica = new SiteReplica();
    const upstreams = [makeUpstream('a'), makeUpstream('b')];
    replica.applySnapshot({epoch: 0, revision: 1, upstreams}, 0, false);
    replica.applyChange(
      {epoch: 0, revision: 2, updated: [], removed: ['a']},
      0,
      true,
    );
    expect(listUsableIds(replica, 1_000)).to.deep.equal(['b', 'a']);
    expect(listUsableIds(replica, 1_900)).to.deep.equal(['b']);
  });

  it('uses the new state of an entry that reappears', () => {
    const replica = new SiteReplica();
    replica.applySnapshot(
      {epoch: 0, revision: 1, upstreams: [makeUpstream('a')]},
      0,
      false,
    );
    replica.applySnapshot({epoch: 0, revision: 2, upstreams: []}, 0, true);
    const updated = [makeUpstream('a', UpstreamStage.DRAINING)];
    replica.applyChange(
      {epoch: 0, revision: 3, updated, removed: []},
      100,
      false,
    );
    expect(listUsableIds(replica, 200)).to.deep.equal([]);
  });

  it('keeps the configuration when a later snapshot contains none', () => {
    const replica = new SiteReplica();
    replica.applySnapshot(
      {
        epoch: 0,
        revision: 1,
        configuration: makeConfiguration(4),
        upstreams: [],
      },
      0,
      false,
    );
    replica.applySnapshot({epoch: 0, revision: 2, upstreams: []}, 0, false);
    expect(replica.createSnapshot(0).configuration?.version).to.equal(4);
  });

  it('starts anew with the revisions of a store that came back from a copy', () => {
    const replica = new SiteReplica();
    const upstreams = [makeUpstream('a')];
    replica.applySnapshot({epoch: 1, revision: 9, upstreams}, 0, false);
    replica.applySnapshot({epoch: 2, revision: 4, upstreams: []}, 0, false);
    expect(replica.position).to.deep.equal({epoch: 2, revision: 4});
    const late = {updated: upstreams, removed: [], configuration};
    replica.applyChange({epoch: 1, revision: 99, ...late}, 0, false);
    expect(replica.position).to.deep.equal({epoch: 2, revision: 4});
    replica.applyChange({epoch: 2, revision: 5, ...late}, 0, false);
    expect(replica.position).to.deep.equal({epoch: 2, revision: 5});
    expect(replica.version).to.equal(configuration.version);
  });

  it('takes a newer configuration from a peer of an earlier epoch', () => {
    const replica = new SiteReplica();
    replica.applySnapshot({epoch: 2, revision: 4, upstreams: []}, 0, false);
    const old = {epoch: 1, revision: 9, upstreams: [makeUpstream('a')]};
    replica.applySnapshot({...old, configuration}, 0, false);
    expect(replica.version).to.equal(configuration.version);
    expect(replica.position).to.deep.equal({epoch: 2, revision: 4});
    expect(listUsableIds(replica, 0)).to.deep.equal([]);
  });

  it('uses upstreams that a copy lacks until they are listed again', () => {
    const replica = new SiteReplica();
    const upstreams = [makeUpstream('a'), makeUpstream('b')];
    replica.applySnapshot({epoch: 1, revision: 9, upstreams}, 0, false);
    replica.applySnapshot({epoch: 2, revision: 4, upstreams: []}, 0, false);
    const updated = [makeUpstream('b')];
    const change = {epoch: 2, revision: 5, updated, removed: []};
    replica.applyChange(change, 2_000, false);
    expect(listUsableIds(replica, 2_000)).to.have.members(['a', 'b']);
    expect(listUsableIds(replica, 2_500)).to.deep.equal(['b']);
  });

  it('uses no upstream that the copy had and that was removed since', () => {
    const replica = new SiteReplica();
    const [left, kept] = [makeUpstream('a'), makeUpstream('b')];
    const upstreams = [
      {...left, revision: 3},
      {...kept, revision: 4},
    ];
    replica.applySnapshot({epoch: 1, revision: 9, upstreams}, 0, false);
    const [, listed] = upstreams;
    const copy = {epoch: 2, revision: 5, upstreams: listed ? [listed] : []};
    replica.applySnapshot(copy, 0, false);
    expect(listUsableIds(replica, 0)).to.deep.equal(['b']);
  });

  // Guards against upstreams that left soon after an outage and are used again.
  it('uses no upstream of a copy whose entry lapsed, once its grace is over', () => {
    const replica = new SiteReplica();
    const upstreams = [makeUpstream('a'), makeUpstream('b')];
    replica.applySnapshot({epoch: 1, revision: 9, upstreams}, 0, false);
    const change = {epoch: 1, revision: 10, updated: [], removed: ['a']};
    replica.applyChange(change, 0, true);
    replica.applySnapshot({epoch: 2, revision: 4, upstreams}, 1_000, false);
    expect(listUsableIds(replica, 1_000)).to.have.members(['a', 'b']);
    expect(listUsableIds(replica, 1_900)).to.deep.equal(['b']);
    const lapsed = {epoch: 2, revision: 5, updated: [], removed: ['a']};
    replica.applyChange(lapsed, 2_000, true);
    expect(listUsableIds(replica, 2_000)).to.deep.equal(['b']);
    const updated = [makeUpstream('a')];
    const again = {epoch: 2, revision: 6, updated, removed: []};
    replica.applyChange(again, 3_000, false);
    expect(listUsableIds(replica, 3_000)).to.have.members(['a', 'b']);
  });

  it('tells what has left from what may have lapsed or was replaced', () => {
    const {upstreams} = new SiteReplica();
    const entries = ['a', 'b', 'c'].map(id => ({
      ...makeUpstream(id),
      address: `${id}:1`,
    }));
    for (const entry of entries) upstreams.write(entry, 0);
    upstreams.remove('a', 0, true);
    upstreams.remove('b', 0, false);
    const listPresence = (nowMs: number): UpstreamPresence[] =>
      entries.map(entry => upstreams.findPresence(entry, nowMs));
    const {LISTED, LAPSED, UNLISTED, REPLACED} = UpstreamPresence;
    expect(listPresence(0)).to.deep.equal([LAPSED, UNLISTED, LISTED]);
    expect(listPresence(2_000)).to.deep.equal([UNLISTED, UNLISTED, LISTED]);
    upstreams.write({...makeUpstream('d'), address: 'b:1'}, 0);
    expect(listPresence(0)).to.deep.equal([LAPSED, REPLACED, LISTED]);
  });

  it('neither goes back nor stays behind, however often the store comes back from copies', () => {
    const step = fc.record({
      kind: fc.constantFrom(...Object.values(StoreStep)),
      server: fc.nat({max: 5}),
      lost: fc.nat({max: 6}),
      pauseMs: fc.nat({max: 1_500}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const store = new CopiedStore();
        const replica = new SiteReplica();
        let before = replica.position;
        let version = 0;
        let nowMs = 0;
        /** Ids that were seen to leave, and when. */
        const left = new Map<string, number>();
        for (const {kind, server, lost, pauseMs} of steps) {
          nowMs += pauseMs;
          if (kind === StoreStep.READ) {
            const snapshot = store.read();
            // What a copy lacks may have started since.
            const isCopy = snapshot.epoch > replica.position.epoch;
            const gone = store
              .listLeft()
              .filter(id => !isCopy && replica.upstreams.find(id));
            replica.applySnapshot(snapshot, nowMs, false);
            for (const id of gone) if (!left.has(id)) left.set(id, nowMs);
          } else if (kind === StoreStep.READ_LATE) {
            replica.applySnapshot(store.readEarlier(lost), nowMs, false);
          } else store.change(kind, `s${server}`, lost);
          expect(comparePositions(replica.position, before)).to.be.at.least(0);
          expect(replica.version).to.be.at.least(version);
          before = replica.position;
          version = replica.version;
          const usable = listUsableIds(replica, nowMs);
          const isRecent = (id: string): boolean =>
            nowMs - (left.get(id) ?? -Infinity) < HOLD_MS;
          expect(usable.filter(isRecent)).to.deep.equal([]);
        }
        store.writeAgain();
        replica.applySnapshot(store.read(), nowMs, false);
        expect(replica.version).to.equal(store.version);
        nowMs += 2 * HOLD_MS;
        expect(listUsableIds(replica, nowMs)).to.have.members(
          store.listReady(),
        );
      }),
      {seed: 1, numRuns: 500},
    );
  });
});

enum StoreStep {
  PUBLISH = 'publish',
  START = 'start',
  DRAIN = 'drain',
  LEAVE = 'leave',
  RESTORE = 'restore',
  READ = 'read',
  READ_LATE = 'read late',
}

/** A store that comes back from copies, and what its writers know. */
class CopiedStore {
  private readonly snapshots: SiteSnapshot[] = [
    {epoch: 1, revision: 1, upstreams: []},
  ];
  private history: SiteSnapshot[] = [...this.snapshots];
  private readonly stages = new Map<string, UpstreamStage | undefined>();
  version = 0;
  private generation = 0;

  read(): SiteSnapshot {
    return this.history.at(-1) ?? {epoch: 0, revision: 0, upstreams: []};
  }

  /** Returns an answer that was given some changes ago, in any epoch. */
  readEarlier(changes: number): SiteSnapshot {
    return this.snapshots.at(-1 - changes) ?? this.read();
  }

  /** Ids that the store itself tells to be gone or to drain, and that are. */
  listLeft(): string[] {
    const listed = this.read().upstreams;
    return [...this.stages]
      .filter(([, stage]) => stage !== UpstreamStage.READY)
      .map(([id]) => id)
      .filter(
        id =>
          !listed.some(
            one => one.id === id && one.stage === UpstreamStage.READY,
          ),
      );
  }

  listReady(): string[] {
    return [...this.stages]
      .filter(([, stage]) => stage === UpstreamStage.READY)
      .map(([id]) => id);
  }

  change(kind: StoreStep, server: string, lost: number): void {
    const live = this.listReady().find(id => id.startsWith(`${server}-`));
    if (kind === StoreStep.PUBLISH) this.version += 1 + lost;
    else if (kind === StoreStep.START && live === undefined) {
      this.stages.set(`${server}-${this.generation++}`, UpstreamStage.READY);
    } else if (kind === StoreStep.DRAIN && live !== undefined) {
      this.stages.set(live, UpstreamStage.DRAINING);
    } else if (kind === StoreStep.LEAVE && live !== undefined) {
      this.stages.set(live, undefined);
    } else if (kind === StoreStep.RESTORE) {
      this.restore(lost);
      return;
    }
    this.writeAgain();
  }

  /** Writes all that operators and servers know. */
  writeAgain(): void {
    const {epoch, revision} = this.read();
    const upstreams = [...this.stages].flatMap(([id, stage]) =>
      stage === undefined ? [] : [makeUpstream(id, stage)],
    );
    this.store({
      epoch,
      revision: revision + 1,
      ...(this.version > 0 && {configuration: makeConfiguration(this.version)}),
      upstreams,
    });
  }

  private restore(lost: number): void {
    const kept = Math.max(1, this.history.length - lost);
    this.history = this.history.slice(0, kept);
    this.store({
      ...this.read(),
      epoch: this.read().epoch + 1 + this.restores++,
    });
  }

  private restores = 0;

  private store(snapshot: SiteSnapshot): void {
    this.history.push(snapshot);
    this.snapshots.push(snapshot);
  }
}
