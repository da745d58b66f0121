import type {UpstreamChoice} from '@parsleywood/dispatch';
import type {UpstreamEntry} from '@parsleywood/forwarding';
import {describeUpstream} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {EventLog} from '../host/event_log.js';
import {PromptReservations} from './prompt_reservations.js';
import type {ReservationCalls} from './reservation_calls.js';
import {ReservationOutcome} from './reservation_outcome.js';

const ENGINES = ['e0', 'e1', 'e2'].map(id => describeUpstream(id));

function choose(): UpstreamChoice {
  const [upstream, ...helpers] = ENGINES;
  if (upstream === undefined) throw new Error('no engine');
  const parts = ENGINES.map(({id}, at) => ({
    upstream: id,
    tokens: 100,
    millionPairs: 1,
    passMs: 45,
    heldTokens: at * 100,
  }));
  return {upstream, helpers, plan: {parts, expectedMs: 100}};
}

/** Engines that answer as the test says, and what they hold. */
class Memory implements ReservationCalls {
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

  release({id}: UpstreamEntry): Promise<boolean> {
    this.calls.push(`release ${id}`);
    if (this.lostReleases-- > 0) return Promise.resolve(false);
    this.held.delete(id);
    return Promise.resolve(true);
  }
}

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

describe('PromptReservations', () => {
  const log = new EventLog({host: 'h', id: '1'}, 'error');

  it('holds at the helpers what the plan keeps there, and frees it', async () => {
    const memory = new Memory();
    const held = new PromptReservations('r1/0', choose(), memory, log);
    expect(held.isNeeded).to.equal(true);
    expect(await held.take()).to.deep.equal([]);
    expect(held.isWhole).to.equal(true);
    expect(memory.calls).to.deep.equal([
      'reserve e1 r1-0-0 100',
      'reserve e2 r1-0-1 200',
    ]);
    const [, second] = ENGINES;
    expect(second && held.find(second)).to.equal('r1-0-0');
    held.release();
    await settle();
    expect(memory.held.size).to.equal(0);
  });

  it('frees what it got when one engine has no room', async () => {
    const memory = new Memory({e2: ReservationOutcome.REFUSED});
    const held = new PromptReservations('r1/0', choose(), memory, log);
    expect(await held.take()).to.deep.equal([]);
    await settle();
    expect(held.isWhole).to.equal(false);
    expect(memory.held.size).to.equal(0);
  });

  it('names an engine that did not answer, and frees what it may hold', async () => {
    const memory = new Memory({e1: ReservationOutcome.NO_ANSWER});
    const held = new PromptReservations('r1/0', choose(), memory, log);
    expect(await held.take()).to.deep.equal([ENGINES[1]]);
    await settle();
    expect(memory.held.size).to.equal(0);
  });

  it('frees what is granted after the request has gone', async () => {
    const memory = new Memory();
    const held = new PromptReservations('r1/0', choose(), memory, log);
    const taken = held.take();
    held.release();
    await taken;
    await settle();
    expect(memory.held.size).to.equal(0);
  });

  it('sends a release again that got no answer', async () => {
    const memory = new Memory({}, 2);
    const held = new PromptReservations('r1/0', choose(), memory, log);
    await held.take();
    held.release();
    await settle();
    await settle();
    expect(memory.held.size).to.equal(0);
  });
});
