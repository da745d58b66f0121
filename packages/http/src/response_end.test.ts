import {connect, type Socket} from 'node:net';
import {RawServer} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import type {Dispatcher} from 'undici';
import {HttpAgent} from './http_agent.js';
import {HttpClient} from './http_client.js';
import {HttpPool} from './http_pool.js';

/** More than the system holds for a server that reads nothing. */
const LONG_UPLOAD_BYTES = 8_000_000;
const SHORT_UPLOAD_BYTES = 100;
/** Time in which an upload fills what the system holds. */
const UPLOAD_MS = 30;
const LATER_MS = 20;
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const BODY = 'part'.repeat(100);

type Answer = (socket: Socket) => void;

/** Ends of a response without length that leave it whole. */
const WHOLE: Readonly<Record<string, Answer>> = {
  'an end': socket => socket.end(HEAD + BODY),
  'an end, after which the request is read': socket => {
    socket.end(HEAD + BODY);
    setTimeout(() => socket.resume(), LATER_MS);
  },
  // The system resets a connection that is closed before all is read.
  'an end and a close at once': socket => {
    socket.end(HEAD + BODY, () => socket.destroy());
  },
  'an end and a close later': socket => {
    socket.end(HEAD + BODY);
    setTimeout(() => socket.destroy(), LATER_MS);
  },
};

const BROKEN: Readonly<Record<string, Answer>> = {
  // Both arrive before the client reads, as it runs on this thread.
  'a reset with the last bytes': socket => {
    socket.write(HEAD + BODY);
    socket.resetAndDestroy();
  },
  'a reset after the last bytes': socket => {
    socket.write(HEAD + BODY);
    setTimeout(() => socket.resetAndDestroy(), LATER_MS);
  },
};

const CLIENTS: Readonly<Record<string, (origin: string) => Dispatcher>> = {
  HttpClient: origin => new HttpClient(origin),
  HttpPool: origin => new HttpPool(origin, {connections: 4}),
  HttpAgent: () => new HttpAgent(),
};

describe('Response without length', () => {
  let server: RawServer | undefined;
  let client: Dispatcher | undefined;

  afterEach(async () => {
    await client?.destroy();
    server?.stop();
  });

  async function start(answer: Answer): Promise<string> {
    server = new RawServer(socket => {
      setTimeout(() => {
        answer(socket);
      }, UPLOAD_MS);
    });
    return server.start();
  }

  /** Uploads to a server; returns the body, or undefined without a whole response. */
  async function upload(
    create: (origin: string) => Dispatcher,
    bytes: number,
    answer: Answer,
  ): Promise<string | undefined> {
    const origin = await start(answer);
    client = create(origin);
    const sent = bytes > 0 ? Buffer.alloc(bytes) : null;
    return client
      .request({origin, path: '/', method: 'POST', body: sent})
      .then(async ({body}) => body.text())
      .catch(() => undefined);
  }

  for (const [name, create] of Object.entries(CLIENTS)) {
    for (const bytes of [0, SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES]) {
      for (const [end, answer] of Object.entries(WHOLE)) {
        it(`is complete by ${end} (${name}, upload of ${bytes} bytes)`, async () => {
          expect(await upload(create, bytes, answer)).to.equal(BODY);
        });
      }

      for (const [end, answer] of Object.entries(BROKEN)) {
        it(`is not complete by ${end} (${name}, upload of ${bytes} bytes)`, async () => {
          expect(await upload(create, bytes, answer)).to.equal(undefined);
        });
      }
    }
  }

  it('does not fail the next request when it has ended and refuses the rest', async () => {
    let connections = 0;
    const origin = await start(socket => {
      if (connections++ === 0) socket.end(HEAD, () => socket.destroy());
      else socket.end(HEAD + BODY);
    });
    const next = new HttpClient(origin);
    client = next;
    const read = async (bytes: number): Promise<string> => {
      const sent = bytes > 0 ? Buffer.alloc(bytes) : null;
      const options = {path: '/', method: 'POST', body: sent} as const;
      return (await next.request(options)).body.text();
    };
    const bodies = await Promise.all([read(LONG_UPLOAD_BYTES), read(0)]);
    expect(bodies).to.deep.equal(['', BODY]);
  });

  /** Events of Node.js for a reset and for a close, while an upload is under way. */
  const EVENTS: Readonly<Record<string, Answer>> = {
    'write ECONNRESET': socket => socket.resetAndDestroy(),
    'write EPIPE': socket => socket.end(() => socket.destroy()),
  };
  // Guards against a change of Node.js by which the check of the end would do nothing.
  for (const [error, end] of Object.entries(EVENTS)) {
    it(`is followed by an end and then by an error (${error})`, async () => {
      const origin = await start(socket => {
        socket.write(HEAD);
        end(socket);
      });
      const {hostname: host, port} = new URL(origin);
      const socket = connect({host, port: Number(port), allowHalfOpen: true});
      const events: string[] = [];
      socket.on('data', () => events.push('data'));
      socket.on('end', () => events.push('end'));
      socket.on('error', ({message}) => events.push(message));
      socket.write(Buffer.alloc(LONG_UPLOAD_BYTES));
      await new Promise(resolve => socket.on('close', resolve));
      expect(events).to.deep.equal(['data', 'end', error]);
    });
  }
});
