import {expect} from 'chai';
import {PlacementRegistry, StartView} from '@parsleywood/dispatch';
import {VirtualFleet} from '../../testing/virtual_fleet.js';
import {PlacementExchange} from './placement_exchange.js';

const SETTLE_MS = 6_000;
/** Two heartbeats of a host that does not know its relay yet, and their answers. */
const KNOWN_MS = 1_000;
const WHOLE_VIEW_MS = 3_000;
const PLACED = 12;

function createPlacement(id: string) {
  return {
    id,
    host: '',
    upstream: 'u',
    promptTokens: 100,
    answerTokens: 10,
    objectiveMs: 300,
    pauseObjectiveMs: 250,
    parts: [
      {upstream: 'u', tokens: 100, millionPairs: 0, heldTokens: 0, passMs: 0},
    ],
  };
}

function listIds(placements: PlacementRegistry): string[] {
  return placements
    .list()
    .map(({placement}) => placement.id)
    .sort();
}

describe('PlacementExchange', () => {
  for (const count of [6, 24, 78]) {
    it(`does not let a host that joins ${count - 1} others take engines for idle`, () => {
      const fleet = new VirtualFleet(count, 3, 1);
      const [joining, ...others] = [...fleet.hosts].reverse();
      if (joining === undefined) return;
      joining.isAlive = false;
      for (const {view} of others) view.begin(0);
      fleet.run(SETTLE_MS);
      for (let at = 0; at < PLACED; at++) {
        const host = others[at % others.length];
        const placement = createPlacement(`p${at}`);
        host?.placements.add(placement, fleet.nowMs);
        host?.relay.publishStart(placement);
      }
      others[0]?.relay.publishDecodeStart('p0');
      others[1]?.placements.end('p1');
      others[1]?.relay.publishEnd('p1');
      // The relays' timers do not run on virtual time.
      for (const {placements} of others.slice(1)) {
        placements.startDecode('p0', fleet.nowMs);
      }
      fleet.run(KNOWN_MS);
      fleet.join(joining);
      fleet.run(KNOWN_MS);
      const [known] = others
        .map(({placements}) => listIds(placements))
        .sort((a, b) => b.length - a.length);
      expect(known).to.have.length(PLACED - 1);
      expect(listIds(joining.placements)).to.deep.equal(known);
      expect(joining.view.getViewMs(fleet.nowMs)).to.be.above(WHOLE_VIEW_MS);
    });
  }

  it('tells a host once for each start, nothing of itself, and only where asked for', () => {
    const placements = new PlacementRegistry();
    const view = new StartView(0, () => true);
    let isUsed = false;
    const exchange = new PlacementExchange(
      placements,
      view,
      'a',
      {send: () => undefined},
      () => isUsed,
    );
    placements.add(createPlacement('own'), 0);
    placements.add({...createPlacement('its'), host: 'b'}, 0);
    const tell = (incarnation: string): string[] | undefined => {
      const {body} = exchange.createNews('b', incarnation, true, 100) ?? {};
      if (body?.$case !== 'placementsInProgress') return undefined;
      return body.value.placements.map(({start}) => start?.id ?? '');
    };
    expect(tell('1')).to.equal(undefined);
    isUsed = true;
    expect(tell('1')).to.deep.equal(['own']);
    expect(tell('1')).to.equal(undefined);
    expect(tell('2')).to.deep.equal(['own']);
  });
});
