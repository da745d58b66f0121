import {RawServer} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {HttpClient} from './http_client.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const LENGTH = 'Content-Length: 2\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const BODY = '\r\nok';
const CHUNKS = '\r\n2\r\nok\r\n0\r\n\r\n';

/** Responses, each beside what differs from it and is none. */
const RESPONSES: Readonly<
  Record<string, {whole: readonly string[]; broken: readonly string[]}>
> = {
  version: {
    whole: [
      `HTTP/1.0 200 OK\r\n${LENGTH}${BODY}`,
      `\r\n${OK}${LENGTH}${BODY}`,
      `HTTP/1.0 200 OK\r\n${BODY}`,
    ],
    broken: [
      `HTTP/0.9 200 OK\r\n${LENGTH}${BODY}`,
      `HTTP/2.0 200 OK\r\n${LENGTH}${BODY}`,
      `HTTP/3.0 200 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1 200 OK\r\n${LENGTH}${BODY}`,
      `http/1.1 200 OK\r\n${LENGTH}${BODY}`,
      `RTSP/1.0 200 OK\r\n${LENGTH}${BODY}`,
      `ICE/1.0 200 OK\r\n${LENGTH}${BODY}`,
      ` ${OK}${LENGTH}${BODY}`,
      'ok',
    ],
  },
  status: {
    whole: [
      `HTTP/1.1 299\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 299 \r\n${LENGTH}${BODY}`,
      `HTTP/1.1 200 200\tOK \xe9\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 599 Odd\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${OK}${LENGTH}${BODY}`,
      `HTTP/1.1 102 P\r\n\r\nHTTP/1.1 199 P\r\n\r\n${OK}${LENGTH}${BODY}`,
    ],
    broken: [
      `HTTP/1.1 000 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 000 OK\r\n${BODY}`,
      `HTTP/1.1 099 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 600 Odd\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 999 Odd\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 20 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 2000 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 -20 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1  200 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 200 O\x01K\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 200 O\x7fK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 200 OK\n${LENGTH}${BODY}`,
      'HTTP/1.1 103 Early Hints\r\n\r\n',
      `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/2.0 200 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n${LENGTH}${BODY}`,
      `HTTP/1.1 101 Switching Protocols\r\n\r\n${OK}${LENGTH}${BODY}`,
    ],
  },
  'field name': {
    whole: [
      `${OK}!#$%&'*+-.^_\`|~09azAZ: 1\r\n${LENGTH}${BODY}`,
      `${OK}content-LENGTH: 2\r\n${BODY}`,
    ],
    broken: [
      `${OK}X Y: 1\r\n${LENGTH}${BODY}`,
      `${OK}X\tY: 1\r\n${LENGTH}${BODY}`,
      `${OK}X\x01Y: 1\r\n${LENGTH}${BODY}`,
      `${OK}X\0Y: 1\r\n${LENGTH}${BODY}`,
      `${OK}X\x7fY: 1\r\n${LENGTH}${BODY}`,
      `${OK}X\xe9Y: 1\r\n${LENGTH}${BODY}`,
      `${OK}X Y: 1\r\n${BODY}`,
      `${OK}X-Y : 1\r\n${LENGTH}${BODY}`,
      `${OK}Content-Length : 2\r\n${BODY}`,
      `${OK}Transfer-Encoding : chunked\r\n${CHUNKS}`,
      `${OK}Content-Length\x0b: 2\r\n${BODY}`,
      `${OK} X-Y: 1\r\n${LENGTH}${BODY}`,
      `${OK}A: b\r\n X-Y: 1\r\n${LENGTH}${BODY}`,
      `${OK}: 1\r\n${LENGTH}${BODY}`,
      `${OK}X-Y\r\n${LENGTH}${BODY}`,
    ],
  },
  'field value': {
    whole: [
      `${OK}A:\r\n${LENGTH}${BODY}`,
      `${OK}A: \t b\tc\xe9\xff \t \r\n${LENGTH}${BODY}`,
    ],
    broken: [
      `${OK}A: b\x01c\r\n${LENGTH}${BODY}`,
      `${OK}A: b\0c\r\n${LENGTH}${BODY}`,
      `${OK}A: b\x7fc\r\n${LENGTH}${BODY}`,
      `${OK}A: b\rc\r\n${LENGTH}${BODY}`,
      `${OK}A: b\nc: d\r\n${LENGTH}${BODY}`,
    ],
  },
  length: {
    whole: [
      `${OK}Content-Length: 002\r\n${BODY}`,
      `${OK}Content-Length:2 \r\n${BODY}`,
    ],
    broken: [
      `${OK}Content-Length: 3\r\n${BODY}`,
      `${OK}Content-Length: +2\r\n${BODY}`,
      `${OK}Content-Length: -2\r\n${BODY}`,
      `${OK}Content-Length: 0x2\r\n${BODY}`,
      `${OK}Content-Length: \r\n${BODY}`,
      `${OK}Content-Length: 2, 3\r\n${BODY}`,
      `${OK}${LENGTH}Content-Length: 3\r\n${BODY}!`,
      `${OK}${LENGTH}${CHUNKED}${CHUNKS}`,
      `${OK}${CHUNKED}${LENGTH}${CHUNKS}`,
    ],
  },
  'transfer coding': {
    whole: [
      `${OK}${CHUNKED}${CHUNKS}`,
      `${OK}transfer-encoding:\tCHUNKED  \r\n${CHUNKS}`,
      `${OK}Transfer-Encoding: , chunked\r\n${CHUNKS}`,
    ],
    broken: [
      `${OK}Transfer-Encoding: gzip\r\n${BODY}`,
      `${OK}Transfer-Encoding: identity\r\n${BODY}`,
      `${OK}Transfer-Encoding: gzip, chunked\r\n${CHUNKS}`,
      `${OK}Transfer-Encoding: chunked, gzip\r\n${CHUNKS}`,
      `${OK}Transfer-Encoding: chunked, chunked\r\n${CHUNKS}`,
      `${OK}${CHUNKED}${CHUNKED}${CHUNKS}`,
      `${OK}Transfer-Encoding: chunked,\r\n${CHUNKS}`,
      // Allowed by RFC 9110, but the parser would take the chunks for the body.
      `${OK}Transfer-Encoding: chunked\t\r\n${CHUNKS}`,
      `${OK}Transfer-Encoding: xchunked\r\n${CHUNKS}`,
      `${OK}Transfer-Encoding: chunked;a=b\r\n${CHUNKS}`,
      `${OK}Transfer-Encoding:\r\n${BODY}`,
      `${OK}Transfer-Encoding:\r\n${LENGTH}${BODY}`,
      `HTTP/1.0 200 OK\r\n${CHUNKED}${CHUNKS}`,
    ],
  },
  chunk: {
    whole: [
      `${OK}${CHUNKED}\r\n002\r\nok\r\n000\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2;a=b;c="d"\r\nok\r\n0;e\r\n\r\n`,
    ],
    broken: [
      `${OK}${CHUNKED}\r\n2\r\nok\r\n`,
      `${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\n`,
      `${OK}${CHUNKED}\r\n0x2\r\nok\r\n0\r\n\r\n`,
      `${OK}${CHUNKED}\r\n 2\r\nok\r\n0\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2\nok\r\n0\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2\r\nokok\r\n0\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2;\x01\r\nok\r\n0\r\n\r\n`,
      `${OK}${CHUNKED}\r\nfffffffffffffffff\r\nok\r\n0\r\n\r\n`,
    ],
  },
  trailer: {
    whole: [`${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\nX-Y: 1\r\nA:\r\n\r\n`],
    broken: [
      `${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\nX-Y : 1\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\nX-Y\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\nA: b\x01c\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\nA: b\r\n c\r\n\r\n`,
      `${OK}${CHUNKED}\r\n2\r\nok\r\n0\r\nX-Y: 1\r\n`,
    ],
  },
};

/** Pieces in which responses are sent: all bytes at once, or one by one. */
const PIECE_BYTES = [Infinity, 1];

describe('Grammar of responses', () => {
  let server: RawServer;
  let client: HttpClient;

  afterEach(async () => {
    await client.destroy();
    server.stop();
  });

  /**
   * Reads a response to the last of some requests on one connection.
   *
   * @return Body; undefined if it is not taken for a response.
   */
  async function read(
    response: string,
    pieceBytes: number,
    earlier: number,
  ): Promise<string | undefined> {
    let answered = 0;
    server = new RawServer(socket => {
      socket.setNoDelay();
      socket.on('data', () => {
        if (answered++ < earlier) {
          socket.write(`${OK}${LENGTH}${BODY}`);
          return;
        }
        const bytes = Buffer.from(response, 'latin1');
        for (let at = 0; at < bytes.length; at += pieceBytes) {
          socket.write(bytes.subarray(at, at + pieceBytes));
        }
        socket.end();
      });
      socket.resume();
    });
    client = new HttpClient(await server.start());
    let last: string | undefined;
    for (let count = 0; count <= earlier; count++) {
      last = await client
        .request({path: '/', method: 'GET'})
        .then(async ({body}) => body.text())
        .catch(() => undefined);
    }
    return last;
  }

  for (const [part, {whole, broken}] of Object.entries(RESPONSES)) {
    for (const pieceBytes of PIECE_BYTES) {
      for (const earlier of [0, 1]) {
        const how = `${pieceBytes === 1 ? 'bytes one by one' : 'at once'}, ${earlier === 0 ? 'new' : 'kept'} connection`;
        it(`allows an unusual ${part} (${how})`, async () => {
          for (const response of whole) {
            const body = await read(response, pieceBytes, earlier);
            expect(body, JSON.stringify(response)).to.equal('ok');
            await client.destroy();
            server.stop();
          }
        });

        it(`allows no other ${part} (${how})`, async () => {
          for (const response of broken) {
            const body = await read(response, pieceBytes, earlier);
            expect(body, JSON.stringify(response)).to.equal(undefined);
            await client.destroy();
            server.stop();
          }
        });
      }
    }
  }
});
