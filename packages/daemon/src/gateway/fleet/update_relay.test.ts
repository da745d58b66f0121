import {setTimeout as pause} from 'node:timers/promises';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import type {PeerMessage} from '@parsleywood/schema/peer';
import {expect} from 'chai';
import {UpdateRelay} from './update_relay.js';

const BATCH_WINDOW_MS = 30;

function describeEnd(id: string): FleetMessage {
  return {body: {$case: 'placementEnd', value: id}};
}

/** Records which host received which update, in order. */
class RecordingSender {
  readonly delivered: string[] = [];
  messageCount = 0;

  send(host: string, {body}: PeerMessage): void {
    this.messageCount++;
    if (body?.$case !== 'fleet') return;
    const inner = body.value.body;
    const messages =
      inner?.$case === 'relayed'
        ? inner.value.news.map(({message}) => message)
        : [body.value];
    for (const message of messages) {
      if (message?.body?.$case === 'placementEnd') {
        this.delivered.push(`${host} ${message.body.value}`);
      }
    }
  }
}

async function waitForBatch(): Promise<void> {
  await pause(2 * BATCH_WINDOW_MS);
}

describe('UpdateRelay', () => {
  let sender: RecordingSender;
  let relay: UpdateRelay;

  beforeEach(() => {
    sender = new RecordingSender();
    relay = new UpdateRelay('self', sender);
  });

  afterEach(() => {
    relay.stop();
  });

  it('sends its own updates to the recipients at once', () => {
    relay.setRecipients(['a', 'b']);
    relay.publishEnd('r1');
    expect(sender.delivered).to.deep.equal(['a r1', 'b r1']);
  });

  it('forwards updates in batches, in order, and to no host its own', async () => {
    relay.subscribe('a', true, 0);
    relay.subscribe('b', true, 0);
    relay.forward('a', describeEnd('r1'));
    relay.forward('c', describeEnd('r2'));
    relay.publishEnd('r3');
    await waitForBatch();
    expect(sender.delivered.sort()).to.deep.equal([
      'a r2',
      'a r3',
      'b r1',
      'b r2',
      'b r3',
    ]);
    expect(sender.messageCount).to.equal(2);
  });

  it('forwards nothing to a host that has unsubscribed or whose subscription expired', async () => {
    relay.subscribe('a', true, 0);
    relay.subscribe('b', true, 0);
    relay.subscribe('b', false, 100);
    expect(relay.listSubscribers(3_000)).to.deep.equal(['a']);
    expect(relay.listSubscribers(3_001)).to.deep.equal([]);
    relay.forward('c', describeEnd('r1'));
    await waitForBatch();
    expect(sender.delivered).to.deep.equal([]);
  });
});
