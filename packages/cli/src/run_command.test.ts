import {readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {expect} from 'chai';
import createFastify, {type FastifyInstance} from 'fastify';
import {Result} from 'true-myth';
import {ErrorKind, Failure, formatFailure} from '@parsleywood/errors';
import type {Explanation} from '@parsleywood/schema/explanation';
import type {ConfigModule, SiteStatus} from './index.js';
import {ExitCode, runCommand} from './index.js';

const GOLDEN = new URL('../golden/', import.meta.url);
const HOUR_MS = 3_600_000;

const STATUS: SiteStatus = {
  asked: 'entry-1',
  hosts: [
    {
      name: 'entry-1',
      incarnation: '1733280000000-ab12',
      state: 'serving',
      failureDomain: 'domain-a',
      callers: '10.0.0.1:8080',
      configuration: {base: 4, overlay: 2, ageMs: 1500},
      inFlight: 3,
      queued: 1,
      upMs: 26 * HOUR_MS,
      members: [
        {name: 'entry-2', incarnation: '1733280000001-cd34', state: 'alive'},
        {name: 'entry-3', incarnation: '', state: 'dead'},
      ],
      upstreams: [buildUpstream('engine-1', 'usable', 2)],
    },
    {
      name: 'entry-2',
      incarnation: '1733280000001-cd34',
      state: 'draining',
      failureDomain: 'domain-b',
      callers: '10.0.0.2:8080',
      configuration: {base: 4, overlay: 1, ageMs: 90_000},
      inFlight: 0,
      queued: 0,
      upMs: 5000,
      members: [
        {name: 'entry-1', incarnation: '1733280000000-ab12', state: 'alive'},
        {name: 'entry-3', incarnation: '', state: 'suspected'},
      ],
      upstreams: [
        buildUpstream('engine-1', 'avoided', 1),
        buildUpstream('engine-2', 'leaving', 0),
      ],
    },
    {
      name: 'entry-3',
      incarnation: '',
      state: 'unreachable',
      failureDomain: 'domain-c',
      callers: '10.0.0.3:8080',
      error: 'no answer within 1000 ms',
    },
  ],
};

const EVENTS = [
  buildEvent(1, 'entry-1', 'request_received', {account: 'team-a'}),
  buildEvent(2, 'entry-1', 'attempt_started', {upstream: 'engine-1'}),
];

const ENGINE = {
  backlogMs: 40,
  usedMemoryTokens: 9_000,
  memoryTokens: 405_000,
  slowdownFactor: 1.25,
  aloneMs: 610,
  lossTokens: 300,
};

const EXPLANATION: Explanation = {
  host: 'gateway-1',
  route: 'ask',
  service: 'llm',
  targets: [
    {service: 'llm', weight: 9},
    {service: 'llm-next', weight: 1},
  ],
  account: 'mill',
  demand: {
    promptTokens: 90_000,
    answerTokens: 1_292,
    objectiveMs: 300,
    callerTimeoutMs: 2_000,
  },
  upstreams: [
    {...buildConsidered('engine-1'), isCandidate: true},
    {...buildConsidered('engine-2'), isCandidate: true, perSecond: 4},
    {...buildConsidered('engine-3'), isCandidate: true},
    {...buildConsidered('engine-4'), exclusion: 'resting', restMs: 900},
    {...buildConsidered('engine-5'), exclusion: 'leaving'},
  ],
  choice: {
    upstream: 'engine-1',
    helpers: ['engine-3'],
    expectedMs: 280,
    objectiveMs: 300,
  },
  inputs: {
    storeAgeMs: 12,
    epoch: 1,
    revision: 40,
    version: 7,
    peers: 2,
    newestPeerMs: 15,
    oldestPeerMs: 240,
    placements: 31,
    upMs: 26 * HOUR_MS,
  },
};
const REFUSED: Explanation = {
  host: 'gateway-1',
  upstreams: [],
  refusal: {
    status: 503,
    kind: 'overloaded',
    message: 'no capacity at service llm',
    waitMs: 800,
    retryAfterMs: 800,
  },
  inputs: {
    epoch: 0,
    revision: 0,
    version: 0,
    peers: 0,
    placements: 0,
    upMs: 1,
  },
};

describe('parsleywood', () => {
  let host: FastifyInstance;
  let address: string;
  let receivedRequests: string[];

  before(async () => {
    host = createFastify();
    host.addHook('onRequest', (request, _reply, done) => {
      receivedRequests.push(`${request.method} ${request.url}`);
      done();
    });
    host.get('/v1/status', () => STATUS);
    host.get('/v1/timeline', () => ({events: EVENTS}));
    host.get<{Querystring: {path: string}}>('/v1/explain', ({query}) =>
      query.path === '/ask/' ? EXPLANATION : REFUSED,
    );
    host.get('/v1/configuration', () => ({
      revision: {base: 4, overlay: 2},
      settings: {a: 1},
    }));
    host.post('/v1/hosts/entry-2/drain', (_request, reply) =>
      reply.code(202).send({host: 'entry-2', state: 'draining'}),
    );
    host.setNotFoundHandler((request, reply) => {
      const failure = new Failure(ErrorKind.NOT_FOUND, `no "${request.url}"`);
      return reply.code(404).send(formatFailure(failure, 'r-1'));
    });
    const url = await host.listen({host: '127.0.0.1', port: 0});
    address = url.replace('http://', '');
  });

  beforeEach(() => {
    receivedRequests = [];
  });

  after(() => host.close());

  async function run(...args: string[]): Promise<string> {
    const lines = [`$ parsleywood ${args.join(' ')}`];
    const exitCode = await runCommand(args, {
      environmentVariables: {PARSLEYWOOD_HOST: address},
      writeOutput: text => lines.push(text),
      writeError: text => lines.push(`error: ${text}`),
      loadConfigModule: () => Promise.resolve(FAKE_CONFIG_MODULE),
    });
    lines.push(`exit code ${exitCode}`, '');
    return lines.join('\n').replaceAll(address, 'IP:PORT');
  }

  it('prints the output in the golden file for each command', async () => {
    const commands = [
      'status',
      'hosts',
      'upstreams',
      'upstreams --json',
      'drain entry-2',
      'drain entry-9',
      'timeline --request r-1',
      'timeline --limit 0',
      'explain --name a.example --path /ask/ --prompt-tokens 90000',
      'explain --name a.example --path /busy/',
      'explain --name a.example --path /busy/ --json',
      'explain --path /ask/',
      'explain --name a.example --path ask',
      'explain --name a.example --path /ask/ --prompt-tokens many',
      'explain --name a.example --path /ask/ --time-limit -5',
      'explain --name a.example --name b.example --path /ask/',
      'explain --name a.example --path /ask/ --tokens 5',
      'config check good.json',
      'config check good.json wrong.json',
      'config check absent.json',
      'config show good.json wrong.json',
      'config diff good.json',
      'config diff good.json --with-base good.json',
      'config',
      'statu',
      'status --host entry-1',
    ];
    const session: string[] = [];
    for (const command of commands) {
      session.push(await run(...command.split(' ')));
    }
    expectGolden('session.txt', session.join('\n'));
  });

  it('prints the help text in the golden file for each command', async () => {
    const commands = [
      '',
      'status',
      'hosts',
      'upstreams',
      'drain',
      'timeline',
      'explain',
      'config',
      'config check',
      'config show',
      'config diff',
    ];
    const pages: string[] = [];
    for (const command of commands) {
      const args = command.split(' ').filter(word => word !== '');
      pages.push(await run(...args, '--help'));
    }
    expectGolden('help.txt', pages.join('\n'));
  });

  it('sends only the expected requests to the given host', async () => {
    await run('timeline', '--request', 'a b', '--after', '5', '--limit', '7');
    await run('drain', 'entry-2');
    expect(receivedRequests).to.eql([
      'GET /v1/timeline?request=a+b&afterMs=5&limit=7',
      'POST /v1/hosts/entry-2/drain',
    ]);
  });

  it('sends all that is known of the request to be explained', async () => {
    const counts = '--prompt-tokens 5 --max-answer-tokens 6 --answer-tokens 7';
    const others = '--key k --service s --parts a:4,b:1 --time-limit 900';
    const request = '--name a.example --path /ask/?q=1';
    await run('explain', ...`${request} ${others} ${counts}`.split(' '));
    expect(receivedRequests).to.eql([
      'GET /v1/explain?name=a.example&path=%2Fask%2F%3Fq%3D1&key=k&service=s' +
        '&promptTokens=5&maxAnswerTokens=6&answerTokens=7' +
        '&parts=a%3A4%2Cb%3A1&timeLimitMs=900',
    ]);
  });

  it('shows no key when an older host does not know the route', async () => {
    const older = createFastify();
    older.setNotFoundHandler(({url}, reply) => {
      const failure = new Failure(ErrorKind.NOT_FOUND, `no route: GET ${url}`);
      return reply.code(404).send(formatFailure(failure, 'r-1'));
    });
    const url = await older.listen({host: '127.0.0.1', port: 0});
    const at = ['--host', url.replace('http://', '')];
    const request = ['--name', 'a', '--path', '/', '--key', 'secret/1'];
    const text = await run('explain', ...at, ...request);
    await older.close();
    expect(text).to.contain('404 not_found: no route: GET /v1/explain\n');
    expect(text.split('error:')[1]).not.to.contain('secret');
  });

  it('distinguishes an unreachable host from a non-JSON response', async () => {
    const nonJsonServer = createServer(socket => {
      socket.resume();
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi');
    });
    await new Promise<void>(done => nonJsonServer.listen(0, '127.0.0.1', done));
    const {port} = nonJsonServer.address() as {port: number};
    const codes = [await runStatusCommand(port)];
    await new Promise(done => nonJsonServer.close(done));
    codes.push(await runStatusCommand(port));
    expect(codes).to.eql([ExitCode.FAILED, ExitCode.UNREACHABLE]);
  });
});

const FAKE_CONFIG_MODULE: ConfigModule = {
  readSettingsFile: path =>
    path === 'absent.json'
      ? Result.err(new Failure(ErrorKind.INVALID_REQUEST, `${path}: absent`))
      : Result.ok(path === 'wrong.json' ? {a: 'x'} : {a: 2, b: {c: true}}),
  mergeSettings: (base, overlay) => ({
    ...(base as object),
    ...(overlay as object),
  }),
  checkSettings: value =>
    typeof (value as {a: unknown}).a === 'number'
      ? Result.ok(value)
      : Result.err([{path: '/a', value: 'x', allowed: 'a number'}]),
  explainSettings: () => [
    {path: '/a', value: 'x', source: 'overlay'},
    {path: '/b/c', value: true, source: 'base'},
  ],
  compareSettings: (a, b) =>
    JSON.stringify(a) === JSON.stringify(b)
      ? []
      : [
          {path: '/a', before: 1, after: 2},
          {path: '/b/c', before: undefined, after: true},
        ],
};

function runStatusCommand(port: number): Promise<ExitCode> {
  return runCommand(['status', '--host', `127.0.0.1:${port}`], {
    environmentVariables: {},
    writeOutput: () => undefined,
    writeError: () => undefined,
    loadConfigModule: () => Promise.resolve(FAKE_CONFIG_MODULE),
  });
}

function buildUpstream(name: string, state: string, inFlight: number) {
  const address = '10.0.1.1:9000';
  return {name, kind: 'engine', serves: 'demo-llm', address, state, inFlight};
}

function buildConsidered(id: string) {
  const place = {address: '10.0.1.1:9000', failureDomain: 'domain-a'};
  const load = {requests: 2, slots: 11, engine: ENGINE};
  return {id, ...place, isCandidate: false, ...load};
}

function buildEvent(
  sequence: number,
  host: string,
  name: string,
  fields: Record<string, string>,
) {
  const timeMs = Date.UTC(2026, 0, 1) + sequence;
  const requestId = 'r-1';
  const counter = 0;
  const incarnation = '1-a';
  const position = {host, incarnation, sequence};
  return {timeMs, counter, ...position, name, requestId, fields};
}

function expectGolden(file: string, text: string): void {
  const path = new URL(file, GOLDEN);
  if (process.env['UPDATE_GOLDEN'] === '1') writeFileSync(path, text);
  expect(text).to.equal(readFileSync(path, 'utf8'));
}
