import {
  PlacementRegistry,
  UpstreamHealth,
  type Placement,
} from '@parsleywood/dispatch';
import type {Service, SiteReplica} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {UpstreamPacing} from './upstream_pacing.js';

const OLD = createUpstream('old');
const NEW = createUpstream('new');

function makePacing(service: Partial<Service>, pacesNewUpstreams: boolean) {
  const health = new UpstreamHealth();
  const events: string[] = [];
  const replica = {
    rules: {findService: () => ({name: 's', ...service})},
    upstreams: {find: (id: string) => [OLD, NEW].find(one => one.id === id)},
  } as unknown as SiteReplica;
  const log = {
    info: (event: string, fields: object = {}) => {
      const {upstream, reason} = fields as {upstream: string; reason: string};
      events.push(`${event} ${upstream} ${reason}`);
    },
  };
  const view = {placements: new PlacementRegistry(), health, replica, log};
  const pacing = new UpstreamPacing(view, {pacesNewUpstreams});
  return {pacing, health, events};
}

/** Lets one upstream start and another come back after a failure. */
function play(service: Partial<Service>, pacesNewUpstreams: boolean): string[] {
  const {pacing, health, events} = makePacing(service, pacesNewUpstreams);
  pacing.applySite([OLD], 0);
  pacing.applySite([OLD, NEW], 100);
  health.recordFailure('old', true, 200);
  pacing.advance(699);
  pacing.advance(700);
  pacing.advance(20_000);
  return events;
}

describe('UpstreamPacing', () => {
  it('changes nothing unless the settings ask for it', () => {
    expect(play({}, false)).to.deep.equal([]);
    const coldStart = {durationMs: 5_000, requestsPerSecond: 18};
    expect(play({coldStart}, false)).to.deep.equal([]);
  });

  it('paces upstreams that start or come back after they were avoided', () => {
    expect(play({}, true)).to.deep.equal([
      'upstream_paced new started',
      'upstream_paced old recovered',
      'upstream_pace_ended new time_over',
      'upstream_pace_ended old time_over',
    ]);
  });

  it('paces an upstream anew when its cold time ends', () => {
    const coldStart = {durationMs: 5_000, requestsPerSecond: 18};
    const {pacing, events} = makePacing({coldStart}, true);
    pacing.applySite([OLD], 0);
    pacing.applySite([OLD, NEW], 0);
    pacing.advance(4_999);
    expect(events).to.deep.equal(['upstream_paced new started']);
    pacing.advance(5_000);
    expect(events[1]).to.equal('upstream_paced new warmed');
  });

  it('takes no upstream for recovered as this host reaches others again', () => {
    const {pacing, health, events} = makePacing({}, true);
    pacing.applySite([OLD], 0);
    health.recordFailure('old', true, 0);
    health.resetUnreachable();
    pacing.advance(5_000);
    expect(events).to.deep.equal([]);
  });

  it('judges the answers of placements of all hosts', () => {
    const {pacing} = makePacing({}, true);
    pacing.applySite([], 0);
    pacing.applySite([NEW], 0);
    const part = {upstream: 'new', tokens: 0, millionPairs: 0};
    const placement: Placement = {
      id: 'r/0',
      host: 'other',
      upstream: 'new',
      promptTokens: 1,
      answerTokens: 1,
      objectiveMs: 300,
      pauseObjectiveMs: Infinity,
      parts: [{...part, heldTokens: 0, passMs: 0}],
    };
    pacing.recordStart(placement, 0);
    expect(pacing.pace.totalWindow).to.equal(5);
    pacing.pace.recordEnd('r/0', false, 301);
    expect(pacing.pace.totalWindow).to.equal(2);
  });
});
