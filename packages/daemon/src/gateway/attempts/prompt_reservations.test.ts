import type {UpstreamChoice} from '@parsleywood/dispatch';
import type {UpstreamEntry} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {EventLog} from '../../host/event_log.js';
import type {EngineReservations} from '../upstreams/engine_reservations.js';
import {PromptReservations} from './prompt_reservations.js';
import {ReservationOutcome} from '../upstreams/reservation_outcome.js';

const ENGINES = ['e0', 'e1', 'e2'].map(id => createUpstream(id));

function describeChoice(): UpstreamChoice {
  const [upstream, ...helpers] = ENGINES;
  if (upstream === undefined) throw new Error('no engine');
  const parts = ENGINES.map(({id}, index) => ({
    upstream: id,
    tokens: 100,
    millionPairs: 1,
    passMs: 45,
    heldTokens: index * 100,
  }));
  return {upstream, helpers, plan: {parts, expectedMs: 100}};
}

/** Engines with preset outcomes, which record the memory that they hold. */
class FakeEngines implements EngineReservations {
  readonly held = new Map<string, number>();
  readonly calls: string[] = [];

  constructor(
    private readonly answers: Readonly<Record<string, ReservationOutcome>> = {},
    private lostReleases = 0,
  ) {}

  reserve(
    {id}: UpstreamEntry,
    reservation: string,
    tokens: number,
  ): Promise<ReservationOutcome> {
    this.calls.push(`reserve ${id} ${reservation} ${tokens}`);
    const answer = this.answers[id] ?? ReservationOutcome.HELD;
    if (answer !== ReservationOutcome.REFUSED) this.held.set(id, tokens);
    return Promise.resolve(answer);
  }

  listenForLeaving(): void {
    // These engines stay.
  }

  release({id}: UpstreamEntry): Promise<boolean> {
    this.calls.push(`release ${id}`);
    if (this.lostReleases-- > 0) return Promise.resolve(false);
    this.held.delete(id);
    return Promise.resolve(true);
  }
}

async function flushPromises(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

describe('PromptReservations', () => {
  const log = new EventLog({host: 'h', id: '1'}, 'error');

  it('reserves the planned memory at the helpers, and releases it', async () => {
    const engines = new FakeEngines();
    const reservations = new PromptReservations(
      'r1/0',
      describeChoice(),
      engines,
      log,
    );
    expect(reservations.isNeeded).to.equal(true);
    expect(await reservations.reserveAll()).to.deep.equal([]);
    expect(reservations.isComplete).to.equal(true);
    expect(engines.calls).to.deep.equal([
      'reserve e1 r1-0-0 100',
      'reserve e2 r1-0-1 200',
    ]);
    const [, second] = ENGINES;
    expect(second && reservations.formatHelper(second)).to.equal(
      `${second?.address ?? ''}/r1-0-0`,
    );
    reservations.release();
    await flushPromises();
    expect(engines.held.size).to.equal(0);
  });

  it('releases the other reservations when one engine has no memory left', async () => {
    const engines = new FakeEngines({e2: ReservationOutcome.REFUSED});
    const reservations = new PromptReservations(
      'r1/0',
      describeChoice(),
      engines,
      log,
    );
    expect(await reservations.reserveAll()).to.deep.equal([]);
    await flushPromises();
    expect(reservations.isComplete).to.equal(false);
    expect(engines.held.size).to.equal(0);
  });

  it('reports an engine that did not respond, and releases what it may hold', async () => {
    const engines = new FakeEngines({e1: ReservationOutcome.NO_ANSWER});
    const reservations = new PromptReservations(
      'r1/0',
      describeChoice(),
      engines,
      log,
    );
    expect(await reservations.reserveAll()).to.deep.equal([ENGINES[1]]);
    await flushPromises();
    expect(engines.held.size).to.equal(0);
  });

  it('releases reservations that are granted after the attempt has ended', async () => {
    const engines = new FakeEngines();
    const reservations = new PromptReservations(
      'r1/0',
      describeChoice(),
      engines,
      log,
    );
    const reserving = reservations.reserveAll();
    reservations.release();
    await reserving;
    await flushPromises();
    expect(engines.held.size).to.equal(0);
  });

  it('repeats a release that got no response', async () => {
    const engines = new FakeEngines({}, 2);
    const reservations = new PromptReservations(
      'r1/0',
      describeChoice(),
      engines,
      log,
    );
    await reservations.reserveAll();
    reservations.release();
    await flushPromises();
    await flushPromises();
    expect(engines.held.size).to.equal(0);
  });
});
