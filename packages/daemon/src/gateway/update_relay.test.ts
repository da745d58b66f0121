import {setTimeout as pause} from 'node:timers/promises';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import type {PeerMessage} from '@parsleywood/schema/peer';
import {expect} from 'chai';
import {NewsRelay} from './update_relay.js';

const COLLECT_MS = 20;

function end(id: string): FleetMessage {
  return {body: {$case: 'placementEnd', value: id}};
}

/** Writes down who got which news, in order. */
class Post {
  readonly got: string[] = [];
  deliveries = 0;

  send(host: string, {body}: PeerMessage): void {
    this.deliveries++;
    if (body?.$case !== 'fleet') return;
    const inner = body.value.body;
    const all =
      inner?.$case === 'relayed'
        ? inner.value.news.map(({message}) => message)
        : [body.value];
    for (const message of all) {
      if (message?.body?.$case === 'placementEnd') {
        this.got.push(`${host} ${message.body.value}`);
      }
    }
  }
}

async function collect(): Promise<void> {
  await pause(2 * COLLECT_MS);
}

describe('NewsRelay', () => {
  let post: Post;
  let relay: NewsRelay;

  beforeEach(() => {
    post = new Post();
    relay = new NewsRelay('self', post);
  });

  afterEach(() => {
    relay.stop();
  });

  it('tells its audience at once', () => {
    relay.setAudience(['a', 'b']);
    relay.tellEnd('r1');
    expect(post.got).to.deep.equal(['a r1', 'b r1']);
  });

  it('passes on what came together, in order, but to nobody its own', async () => {
    relay.subscribe('a', true, 0);
    relay.subscribe('b', true, 0);
    relay.pass('a', end('r1'));
    relay.pass('c', end('r2'));
    relay.tellEnd('r3');
    await collect();
    expect(post.got.sort()).to.deep.equal([
      'a r2',
      'a r3',
      'b r1',
      'b r2',
      'b r3',
    ]);
    expect(post.deliveries).to.equal(2);
  });

  it('passes nothing on to a host that has left, or is silent', async () => {
    relay.subscribe('a', true, 0);
    relay.subscribe('b', true, 0);
    relay.subscribe('b', false, 100);
    expect(relay.subscribers(3_000)).to.deep.equal(['a']);
    expect(relay.subscribers(3_001)).to.deep.equal([]);
    relay.pass('c', end('r1'));
    await collect();
    expect(post.got).to.deep.equal([]);
  });
});
