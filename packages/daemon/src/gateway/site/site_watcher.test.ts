import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {SiteReplica, type SiteSnapshot} from '@parsleywood/forwarding';
import {Result} from 'true-myth';
import {EventLog} from '../../host/event_log.js';
import {HostMetrics} from '../../host/host_metrics.js';
import {SystemClock} from '../../host/system_clock.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import type {SiteSource} from './site_source.js';
import {SiteSourceErrorKind} from './site_source_error_kind.js';
import {SiteUpdater} from './site_updater.js';
import {SiteWatcher} from './site_watcher.js';

const HOSTS = 300;
/** Time after which hosts hear of a newer position through relays, and ask for it. */
const PEER_MS = 1_000;
const WATCH_MS = 100;
const LATEST = {epoch: 2, revision: 4};

/** Store that came back from a copy, as hosts of one site read it. */
class RestoredSource implements SiteSource {
  static loads = 0;
  static watches = 0;
  position = {epoch: 1, revision: 9};

  load(): ReturnType<SiteSource['load']> {
    RestoredSource.loads++;
    return Promise.resolve(Result.ok({...this.position, upstreams: []}));
  }

  async watch(revision: number): ReturnType<SiteSource['watch']> {
    RestoredSource.watches++;
    await pause(WATCH_MS);
    if (revision > this.position.revision) {
      const kind = SiteSourceErrorKind.HISTORY_LOST;
      return Result.err({kind, detail: 'no such revision'});
    }
    return Result.ok({...this.position, updated: [], removed: []});
  }

  close(): void {
    // Nothing is open.
  }
}

describe('SiteWatcher of a store that came back from a copy', () => {
  const watchers: SiteWatcher[] = [];
  const replicas: SiteReplica[] = [];
  const sources: RestoredSource[] = [];

  function startHosts(count: number): void {
    const log = new EventLog({host: 'h', id: '1'}, 'error');
    const clock = new SystemClock();
    const metrics = new GatewayMetrics(new HostMetrics());
    RestoredSource.loads = 0;
    for (let at = 0; at < count; at++) {
      const replica = new SiteReplica();
      const source = new RestoredSource();
      const updater = new SiteUpdater(replica, clock, log, () => undefined);
      const draw = (): number => ((at * 7_919) % count) / count;
      const watcher = new SiteWatcher(
        source,
        updater,
        log,
        metrics,
        () => count,
        draw,
      );
      replicas.push(replica);
      sources.push(source);
      watchers.push(watcher);
      watcher.start();
    }
  }

  afterEach(async () => {
    for (const watcher of watchers) watcher.stop();
    await pause(2 * WATCH_MS);
    for (const list of [watchers, replicas, sources]) list.length = 0;
  });

  it('lets a host load once for each copy', async () => {
    startHosts(1);
    await pause(WATCH_MS);
    for (const source of sources) source.position = {...LATEST};
    await pause(5 * WATCH_MS);
    expect(RestoredSource.loads).to.equal(2);
    expect(replicas[0]?.position).to.deep.equal(LATEST);
  });

  it('lets a third of 300 hosts load at most, as the others hear of it from peers', async () => {
    startHosts(HOSTS);
    await pause(WATCH_MS);
    RestoredSource.loads = 0;
    for (const source of sources) source.position = {...LATEST};
    await pause(WATCH_MS + PEER_MS);
    const snapshot: SiteSnapshot = {...LATEST, upstreams: []};
    for (const replica of replicas) replica.applySnapshot(snapshot, 0, false);
    await pause(PEER_MS);
    expect(RestoredSource.loads).to.be.within(1, HOSTS / 3);
    for (const {position} of replicas) expect(position).to.deep.equal(LATEST);
  });

  it('ignores answers of an earlier epoch, and slows down', async () => {
    startHosts(1);
    for (const source of sources) source.position = {...LATEST};
    await pause(3 * WATCH_MS);
    RestoredSource.watches = 0;
    RestoredSource.loads = 0;
    for (const source of sources) source.position = {epoch: 1, revision: 99};
    await pause(20 * WATCH_MS);
    expect(replicas[0]?.position).to.deep.equal(LATEST);
    expect(RestoredSource.loads).to.equal(0);
    expect(RestoredSource.watches).to.be.within(1, 8);
  });

  it('slows down while a store that names no epoch stays behind', async () => {
    startHosts(1);
    await pause(WATCH_MS);
    for (const source of sources) source.position = {epoch: 1, revision: 4};
    RestoredSource.loads = 0;
    await pause(20 * WATCH_MS);
    expect(RestoredSource.loads).to.be.within(1, 5);
  });
});

/** Store whose calls fail in a way that no source should. */
class RejectingSource extends RestoredSource {
  calls = 0;

  override load(): ReturnType<SiteSource['load']> {
    return this.calls++ === 0 ? reject() : super.load();
  }

  override watch(revision: number): ReturnType<SiteSource['watch']> {
    return this.calls++ === 2 ? reject() : super.watch(revision);
  }
}

function reject(): Promise<never> {
  return Promise.reject(new Error('unexpected'));
}

describe('SiteWatcher of a source that rejects, and of an update that fails', () => {
  it('loads all anew and goes on', async () => {
    const log = new EventLog({host: 'h', id: '1'}, 'error');
    const replica = new SiteReplica();
    const source = new RejectingSource();
    let failures = 2;
    const updater = new SiteUpdater(replica, new SystemClock(), log, () => {
      if (source.calls > 4 && failures-- > 0) throw new Error('odd entry');
    });
    const watcher = new SiteWatcher(
      source,
      updater,
      log,
      new GatewayMetrics(new HostMetrics()),
      () => 1,
      () => 0.5,
    );
    watcher.start();
    await pause(5 * WATCH_MS);
    source.position = {epoch: 1, revision: 12};
    await pause(10 * WATCH_MS);
    watcher.stop();
    expect(failures).to.equal(-1);
    expect(replica.position).to.deep.equal({epoch: 1, revision: 12});
    // At most a watch per interval, and a load after each of four failures.
    expect(source.calls).to.be.within(8, 15 + 4);
  });
});

/** Store that answers nothing until each load's time limit. */
class SilentSource extends RestoredSource {
  readonly limits: (number | undefined)[] = [];

  override load(limitMs?: number): ReturnType<SiteSource['load']> {
    this.limits.push(limitMs);
    const kind = SiteSourceErrorKind.UNAVAILABLE;
    return Promise.resolve(Result.err({kind, detail: 'silent'}));
  }
}

describe('SiteWatcher of a host that starts before a silent store', () => {
  it('does not wait out the usual limit before most of its loads', async () => {
    const log = new EventLog({host: 'h', id: '1'}, 'error');
    const source = new SilentSource();
    const watcher = new SiteWatcher(
      source,
      new SiteUpdater(
        new SiteReplica(),
        new SystemClock(),
        log,
        () => undefined,
      ),
      log,
      new GatewayMetrics(new HostMetrics()),
      () => 1,
      () => 0,
    );
    watcher.start();
    await pause(600);
    watcher.stop();
    expect(source.limits.slice(0, 4)).to.deep.equal([400, 400, undefined, 400]);
  });
});
