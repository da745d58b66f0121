import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {AttemptOutcome, UpstreamStage} from '@parsleywood/forwarding';
import {expect} from 'chai';
import {SystemClock} from '../../host/system_clock.js';
import type {ResponseHead} from './response_head.js';
import {DEFAULT_HEADER_NAMES} from '../default_header_names.js';
import {UpstreamAttempt} from './upstream_attempt.js';
import {UpstreamConnectionPool} from './upstream_connection_pool.js';

const UPSTREAM = {
  id: 'u1',
  service: 's',
  address: '',
  failureDomain: 'd',
  stage: UpstreamStage.READY,
  slots: 1,
};
/** More than the system holds for an upstream that reads nothing. */
const MORE_THAN_UNREAD_BYTES = 400_000;

interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly detail: string;
  readonly head: ResponseHead | undefined;
  readonly body: string;
}

describe('UpstreamAttempt', () => {
  const connections = new UpstreamConnectionPool(new SystemClock());
  const servers: Server[] = [];

  afterEach(() => {
    connections.close();
    for (const server of servers.splice(0)) server.close();
  });

  /** Starts an upstream that calls a function for each request. */
  async function listen(
    answer: (socket: Socket, request: string) => void,
  ): Promise<string> {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', data => {
        answer(socket, data.toString());
      });
    });
    servers.push(server);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Sends a request and returns how the attempt ended. */
  async function send(
    address: string,
    id = 'r1',
    needsNewConnection = false,
  ): Promise<AttemptResult> {
    return new Promise(resolve => {
      let head: ResponseHead | undefined;
      let body = '';
      const upstream = {...UPSTREAM, address};
      const request = {
        id,
        upstream,
        method: 'GET',
        target: '/a/b?c=%20',
        headers: ['X-Own', id],
        body: Buffer.alloc(0),
        needsNewConnection,
      };
      new UpstreamAttempt(request, connections, DEFAULT_HEADER_NAMES, {
        onHead: one => {
          head = one;
          return true;
        },
        onData: chunk => {
          body += chunk.toString();
        },
        onEnd: (outcome, detail) => {
          resolve({outcome, detail, head, body});
        },
      }).start();
    });
  }

  it('ignores a rest that cannot be read, and tells of it', async () => {
    const address = await listen(socket => {
      socket.write(
        'HTTP/1.1 503 Busy\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n',
      );
    });
    const {head} = await send(address);
    expect(head?.restMs).to.equal(0);
    expect(head?.unreadableRest).to.equal('-1');
  });

  it('accepts a complete response with its headers, and reuses the connection', async () => {
    let accepted = 0;
    const address = await listen((socket, request) => {
      accepted++;
      expect(request).to.match(/^GET \/a\/b\?c=%20 HTTP\/1\.1\r\n/);
      expect(request).to.match(/X-Own: r[12]\r\n/);
      socket.write('HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok');
    });
    const first = await send(address);
    expect(first.outcome).to.equal(AttemptOutcome.ANSWERED);
    expect(first.body).to.equal('ok');
    expect(first.head?.headers).to.include.members(['X-A', 'b']);
    await new Promise(resolve => setTimeout(resolve, 10));
    await send(address, 'r2');
    expect(accepted).to.equal(2);
    expect(await countConnections()).to.equal(1);
  });

  it('accepts a response without length that ends with its connection', async () => {
    const address = await listen(socket => {
      socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
    });
    const {outcome, body} = await send(address);
    expect([outcome, body]).to.deep.equal([AttemptOutcome.ANSWERED, 'whole']);
  });

  for (const head of ['', 'Connection: close\r\n']) {
    it(`does not take a reset for the end of a response (${head.trim()})`, async () => {
      const address = await listen(socket => {
        socket.write(`HTTP/1.1 200 OK\r\n${head}\r\npart`, () => {
          setTimeout(() => socket.resetAndDestroy(), 10);
        });
      });
      expect((await send(address)).outcome).to.equal(AttemptOutcome.BROKEN);
    });
  }

  it('does not take a reset that arrives with the last bytes for the end', async () => {
    const address = await listen(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
        socket.resetAndDestroy();
        // Blocks the event loop, so that bytes and reset are read in one iteration.
        const untilMs = performance.now() + 20;
        while (performance.now() < untilMs);
      });
    });
    expect((await send(address)).outcome).to.equal(AttemptOutcome.BROKEN);
  });

  it('reports a truncated response as broken', async () => {
    const address = await listen(socket => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart');
    });
    expect((await send(address)).outcome).to.equal(AttemptOutcome.BROKEN);
  });

  it('rejects the response to another request', async () => {
    const address = await listen(socket => {
      socket.write(
        'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nno',
      );
    });
    const {outcome, body} = await send(address);
    expect([outcome, body]).to.deep.equal([AttemptOutcome.BROKEN, '']);
  });

  it('discards a second, unsolicited response', async () => {
    const answer =
      'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n';
    const address = await listen((socket, request) => {
      if (request.includes('/a/b')) socket.write(`${answer}ok${answer}no`);
    });
    const {outcome, body} = await send(address);
    expect([outcome, body]).to.deep.equal([AttemptOutcome.ANSWERED, 'ok']);
    await new Promise(resolve => setTimeout(resolve, 20));
    const second = await send(address, 'r1');
    expect(second.body).to.equal('ok');
  });

  it('reports a refusal when the response states that the request was not executed', async () => {
    const address = await listen(socket => {
      socket.write(
        'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n',
      );
    });
    expect((await send(address)).outcome).to.equal(AttemptOutcome.REFUSED);
  });

  /** Ends of a refusal that break it off. */
  const BROKEN_ENDS = new Map<string, (socket: Socket) => void>([
    ['Content-Length: 9\r\n', socket => void socket.end()],
    ['Transfer-Encoding: chunked\r\n', socket => void socket.end()],
    ['', socket => void socket.resetAndDestroy()],
  ]);
  for (const [field, end] of BROKEN_ENDS) {
    for (const status of ['503 Busy\r\nNot-Run: 1', '421 Misdirected']) {
      it(`does not take a refusal that breaks off for a proof (${status.slice(0, 3)} ${field.trim()})`, async () => {
        const address = await listen(socket => {
          socket.write(`HTTP/1.1 ${status}\r\n${field}\r\n`);
          end(socket);
        });
        expect((await send(address)).outcome).to.equal(AttemptOutcome.BROKEN);
      });
    }
  }

  it('reports a refusal that lasts until the connection ends', async () => {
    const address = await listen(socket => {
      socket.end('HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\nbusy');
    });
    expect((await send(address)).outcome).to.equal(AttemptOutcome.REFUSED);
  });

  /** Refusals of an earlier request that may come once more, by their id header. */
  const REFUSAL_IDS = new Map([
    ['with the id of the earlier request', 'Request-Id: r1\r\n'],
    ['without an id', ''],
  ]);
  for (const [name, idHeader] of REFUSAL_IDS) {
    for (const status of ['503 Busy\r\nNot-Run: 1', '421 Misdirected']) {
      it(`does not take a refusal that comes once more, ${name}, for one (${status.slice(0, 3)})`, async () => {
        const refusal = `HTTP/1.1 ${status}\r\n${idHeader}Content-Length: 0\r\n\r\n`;
        const address = await listen(socket => {
          socket.write(refusal);
        });
        expect((await send(address)).outcome).to.equal(AttemptOutcome.REFUSED);
        await new Promise(resolve => setTimeout(resolve, 10));
        const {outcome} = await send(address, 'r2');
        expect(await countConnections()).to.be.at.most(1);
        expect(outcome).to.equal(AttemptOutcome.BROKEN);
      });
    }
  }

  it('sends a request that was refused again on another connection', async () => {
    const refusal =
      'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n';
    const whole =
      'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok';
    let refused: Socket | undefined;
    const address = await listen(socket => {
      // The faulty upstream runs the request that comes again, and first writes
      // the earlier refusal once more where that connection was kept.
      refused ??= socket;
      socket.write(socket === refused ? refusal : whole);
    });
    expect((await send(address)).outcome).to.equal(AttemptOutcome.REFUSED);
    await new Promise(resolve => setTimeout(resolve, 10));
    const {outcome, body} = await send(address);
    expect([outcome, body]).to.deep.equal([AttemptOutcome.ANSWERED, 'ok']);
  });

  it('replaces a connection that has refused a hundred requests', async () => {
    const sockets = new Set<Socket>();
    const address = await listen((socket, text) => {
      sockets.add(socket);
      const id = /X-Own: (\S+)/.exec(text)?.[1] ?? '';
      socket.write(
        `HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
      );
    });
    for (let count = 1; count <= 101; count++) {
      const {outcome} = await send(address, `r${count}`);
      expect(outcome).to.equal(AttemptOutcome.REFUSED);
      await new Promise(resolve => setImmediate(resolve));
      expect(sockets.size).to.equal(count <= 100 ? 1 : 2);
    }
  });

  it('takes no response without an id where the upstream tells ids', async () => {
    const answer = (id: string): string =>
      `HTTP/1.1 200 OK\r\n${id}Content-Length: 2\r\n\r\nok`;
    let requests = 0;
    const address = await listen(socket => {
      socket.write(answer(requests++ === 0 ? 'Request-Id: r1\r\n' : ''));
    });
    expect((await send(address)).outcome).to.equal(AttemptOutcome.ANSWERED);
    await new Promise(resolve => setTimeout(resolve, 10));
    expect((await send(address, 'r2')).outcome).to.equal(AttemptOutcome.BROKEN);
  });

  const CUT_HEADS = [
    'HTTP/1.1 200',
    'HTTP/1.1 200 OK\r\n',
    'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n',
    'HTTP/1.1 200 OK\r\nContent-Length: 1',
    'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n',
    'HTTP/1.1 200 OK\r\nConnection: close\r\n\r',
  ];
  for (const head of CUT_HEADS) {
    for (const isReused of [false, true]) {
      it(`does not take a head that is cut for a response (${JSON.stringify(head)}, ${isReused ? 'kept' : 'new'} connection)`, async () => {
        let left = isReused ? 1 : 0;
        const address = await listen(socket => {
          if (left-- > 0) {
            socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
          } else {
            socket.end(head);
          }
        });
        if (isReused) {
          await send(address, 'r0');
          await new Promise(resolve => setTimeout(resolve, 10));
        }
        const {outcome, body} = await send(address);
        expect([outcome, body]).to.deep.equal([AttemptOutcome.BROKEN, '']);
      });
    }
  }

  it('reports that nothing was sent when the connection fails', async () => {
    const server = createServer();
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    const {outcome} = await send(`127.0.0.1:${port}`);
    expect(outcome).to.equal(AttemptOutcome.NOT_SENT);
  });

  it('does not take an upstream that was down for one that a suspect broke', async () => {
    let isDown = false;
    const address = await listen(socket => {
      if (isDown) socket.resetAndDestroy();
      else socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    });
    await send(address);
    await new Promise(resolve => setTimeout(resolve, 10));
    isDown = true;
    // The idle connection stays open until it is used.
    servers[0]?.close();
    const {outcome} = await send(address, 'r2', true);
    expect(outcome).to.equal(AttemptOutcome.NOT_SENT);
    expect((await send(address, 'r3')).outcome).to.equal(AttemptOutcome.BROKEN);
  });

  async function countConnections(): Promise<number> {
    return new Promise((resolve, reject) => {
      servers[0]?.getConnections((error, count) => {
        if (error) reject(error);
        else resolve(count);
      });
    });
  }

  it('does not deliver the rest of a cancelled request to a silent upstream', async () => {
    let bytes = 0;
    const sockets: Socket[] = [];
    const server = createServer({pauseOnConnect: true}, socket => {
      socket.on('error', () => undefined);
      socket.on('data', chunk => (bytes += chunk.length));
      sockets.push(socket);
    });
    servers.push(server);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const attempt = new UpstreamAttempt(
      {
        id: 'r1',
        upstream: {...UPSTREAM, address: `127.0.0.1:${port}`},
        method: 'POST',
        target: '/',
        headers: [],
        body: Buffer.alloc(MORE_THAN_UNREAD_BYTES),
        needsNewConnection: true,
      },
      connections,
      DEFAULT_HEADER_NAMES,
      {onHead: () => true, onData: () => undefined, onEnd: () => undefined},
    );
    attempt.start();
    await pause(100);
    attempt.cancel();
    await pause(50);
    for (const socket of sockets) socket.resume();
    await pause(200);
    expect(bytes).to.be.greaterThan(0).and.below(MORE_THAN_UNREAD_BYTES);
  });

  // Guards against requests that reach an upstream that was evacuated as they waited.
  it('sends nothing over a connection that opens too late', async () => {
    let bytes = 0;
    const address = await listen((_socket, request) => {
      bytes += request.length;
    });
    const outcome = await new Promise<AttemptOutcome>(resolve => {
      new UpstreamAttempt(
        {
          id: 'r1',
          upstream: {...UPSTREAM, address},
          method: 'POST',
          target: '/',
          headers: [],
          body: Buffer.alloc(9),
          needsNewConnection: false,
        },
        connections,
        DEFAULT_HEADER_NAMES,
        {onHead: () => true, onData: () => undefined, onEnd: resolve},
        () => false,
      ).start();
    });
    expect(outcome).to.equal(AttemptOutcome.WITHDRAWN);
    await pause(50);
    expect(bytes).to.equal(0);
  });
});
