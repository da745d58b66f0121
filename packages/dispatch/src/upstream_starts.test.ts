import type {UpstreamEntry} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {UpstreamStarts} from './upstream_starts.js';

const COLD_MS = 20_000;

/** Observes lists one second apart; returns the reasons and ends of cold times. */
function observe(...lists: UpstreamEntry[][]): string[][] {
  const starts = new UpstreamStarts();
  return lists.map((entries, second) =>
    starts
      .observe(entries, () => COLD_MS, second * 1_000)
      .map(
        ({entry, reason = 'moved', coldUntilMs}) =>
          `${entry.id} ${reason} ${coldUntilMs}`,
      ),
  );
}

describe('UpstreamStarts', () => {
  const a = createUpstream('a', {bornMs: 5, revision: 1});

  it('takes the upstreams of the first list for warm unless they say otherwise', () => {
    const cold = createUpstream('b', {coldRemainingMs: 3_000});
    expect(observe([a, cold])).to.deep.equal([['b cold 3000']]);
  });

  it('finds new ids and later births', () => {
    const reborn = {...a, bornMs: 6, revision: 2};
    const seen = observe([a], [a, createUpstream('b')], [reborn]);
    expect(seen).to.deep.equal([[], ['b started 21000'], ['a started 22000']]);
  });

  // Load pattern: the store comes back from a copy and lists all entries anew.
  it('takes no upstream for started that is listed again', () => {
    expect(observe([a], [], [{...a}])).to.deep.equal([[], [], []]);
  });

  // Load pattern: hosts restart while entries lapse, which are listed anew after the first list.
  it('takes no upstream for started that says that it is warm', () => {
    const warm = createUpstream('b', {coldRemainingMs: 0});
    expect(observe([a], [a, warm])).to.deep.equal([[], []]);
  });

  it('counts what an entry says from when it was written', () => {
    const cold = {...a, coldRemainingMs: 3_000, revision: 2};
    const longer = {...a, coldRemainingMs: 9_000, revision: 3};
    expect(observe([a], [cold], [{...cold}], [longer])).to.deep.equal([
      [],
      ['a cold 4000'],
      [],
      ['a moved 12000'],
    ]);
  });
});
