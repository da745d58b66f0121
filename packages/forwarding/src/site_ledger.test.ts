import {expect} from 'chai';
import fc from 'fast-check';
import type {Configuration} from './configuration.js';
import {SiteLedger} from './site_ledger.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {UpstreamStage} from './upstream_stage.js';

function configuration(version: number): Configuration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return {version, routes: [], services: [], limits};
}

function upstream(id: string, stage = UpstreamStage.READY): UpstreamEntry {
  return {
    id,
    service: 's',
    address: '10.0.0.1:1',
    failureDomain: 'd',
    stage,
    slots: 1,
  };
}

function usable(ledger: SiteLedger, nowMs: number): string[] {
  return ledger.upstreams.usable('s', nowMs).map(({id}) => id);
}

describe('SiteLedger', () => {
  it('never goes back, whatever store and peers tell in which order', () => {
    const step = fc.record({
      revision: fc.integer({min: 1, max: 30}),
      isSnapshot: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 40}), steps => {
        const ledger = new SiteLedger();
        let revision = 0;
        let version = 0;
        for (const told of steps) {
          // The configuration of a revision is the same wherever it is told.
          const change = {
            revision: told.revision,
            configuration: configuration(Math.ceil(told.revision / 3)),
          };
          if (told.isSnapshot) {
            ledger.takeSnapshot({...change, upstreams: []}, 0, false);
          } else {
            ledger.takeChange({...change, written: [], removed: []}, 0, false);
          }
          const held = ledger.rules?.configuration.version ?? 0;
          expect(ledger.revision).to.be.at.least(revision);
          expect(held).to.be.at.least(version);
          revision = ledger.revision;
          version = held;
        }
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('gives no work to an upstream that drains or is gone', () => {
    const ledger = new SiteLedger();
    const upstreams = [upstream('a'), upstream('b'), upstream('c')];
    ledger.takeSnapshot({revision: 1, upstreams}, 0, false);
    const written = [upstream('a', UpstreamStage.DRAINING)];
    ledger.takeChange({revision: 2, written, removed: ['b']}, 0, false);
    expect(usable(ledger, 0)).to.deep.equal(['c']);
  });

  it('keeps an entry that may have lapsed for less than the bound of 2 s', () => {
    const ledger = new SiteLedger();
    const upstreams = [upstream('a'), upstream('b')];
    ledger.takeSnapshot({revision: 1, upstreams}, 0, false);
    ledger.takeChange({revision: 2, written: [], removed: ['a']}, 0, true);
    expect(usable(ledger, 1_000)).to.deep.equal(['b', 'a']);
    expect(usable(ledger, 1_900)).to.deep.equal(['b']);
  });

  it('takes an entry that came back as it is told then', () => {
    const ledger = new SiteLedger();
    ledger.takeSnapshot({revision: 1, upstreams: [upstream('a')]}, 0, false);
    ledger.takeSnapshot({revision: 2, upstreams: []}, 0, true);
    const written = [upstream('a', UpstreamStage.DRAINING)];
    ledger.takeChange({revision: 3, written, removed: []}, 100, false);
    expect(usable(ledger, 200)).to.deep.equal([]);
  });

  it('keeps the configuration when a later snapshot tells none', () => {
    const ledger = new SiteLedger();
    ledger.takeSnapshot(
      {revision: 1, configuration: configuration(4), upstreams: []},
      0,
      false,
    );
    ledger.takeSnapshot({revision: 2, upstreams: []}, 0, false);
    expect(ledger.snapshot().configuration?.version).to.equal(4);
  });
});
