import {once} from 'node:events';
import {
  Agent,
  request,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {CheckedUpstream} from './checked_upstream.js';
import {NamedGateways} from './named_gateways.js';
import type {SoakCall} from './soak_call.js';
import type {SoakRoute} from './soak_route.js';
import {SOAK_ROUTES} from './soak_routes.js';

const CALLERS = 16;
const PAUSE_MS = 40;
/** One request of so many crashes upstreams. */
const CRASH_INTERVAL = 30;
/** Number of different requests on each route that crash upstreams. */
const CRASHING_REQUESTS = 3;
/** Callers that wait after each piece of an answer, and ask for large ones. */
const SLOW_CALLERS = 3;
/** Callers that ask the directory; the others go on with all gateways. */
const ASKING_CALLERS = 10;
const SLOW_PIECE_MS = 8;
const KEPT_BODY_LENGTH = 1_000;
/** Callers give up after this time; the routes' limits are shorter. */
const GIVE_UP_MS = 12_000;

const {crashingPart: CRASHING_PART} = CheckedUpstream;

/** Callers that use open connections until the gateway is gone. */
export class SoakCallers {
  readonly calls: SoakCall[] = [];
  private loops: Promise<void>[] = [];
  /** Whether callers send requests that crash upstreams. */
  allowsCrashes = true;
  private isStopping = false;
  private started = 0;

  /**
   * @param addresses IP:port of the gateways.
   * @param directories IP:port of their directories, in the same order.
   */
  constructor(
    private readonly addresses: readonly string[],
    private readonly directories: readonly string[],
    private readonly random: RandomGenerator,
  ) {}

  start(): void {
    this.loops = Array.from({length: CALLERS}, (_none, at) =>
      this.loop(at < SLOW_CALLERS, at < ASKING_CALLERS),
    );
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.loops);
  }

  private async loop(isSlow: boolean, asks: boolean): Promise<void> {
    const {addresses, directories, random} = this;
    const named = new NamedGateways(directories, addresses, random);
    // Shared connections would count the wait for a free one as the gateway's.
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    while (!this.isStopping) {
      const gateway = asks
        ? await named.choose()
        : uniformInt(random, 0, addresses.length - 1);
      const at = uniformInt(random, 0, SOAK_ROUTES.length - 1);
      const route = SOAK_ROUTES[at];
      if (route) {
        const call = await this.callOrCrash(agent, gateway, route, isSlow);
        this.calls.push({...call, followsDirectory: asks});
      }
      await pause(PAUSE_MS);
    }
    agent.destroy();
  }

  /** Sends a request of its own, or now and then one that crashes upstreams. */
  private async callOrCrash(
    agent: Agent,
    gateway: number,
    route: SoakRoute,
    isSlow: boolean,
  ): Promise<Omit<SoakCall, 'followsDirectory'>> {
    const id = `s${this.started++}`;
    const isFatal =
      this.allowsCrashes && uniformInt(this.random, 1, CRASH_INTERVAL) === 1;
    const one = uniformInt(this.random, 1, CRASHING_REQUESTS);
    const hasPart =
      this.allowsCrashes &&
      route.service === 'engine' &&
      uniformInt(this.random, 1, CRASH_INTERVAL) === 1;
    const parts = [
      'all',
      `topic${one}`,
      ...(hasPart ? [CRASHING_PART] : []),
      id,
    ];
    const isLarge = isSlow && !isFatal && route.service === 'app';
    const marker = isLarge ? `${CheckedUpstream.largeMarker} ` : '';
    const body = isFatal
      ? `${CheckedUpstream.crashMarker} ${one}`
      : `${marker}${id}`;
    // The last of the crashing requests comes with another query each time.
    const query = one === CRASHING_REQUESTS ? `?at=${id}` : '';
    const address = this.addresses[gateway] ?? '';
    const sent = request(`http://${address}${route.path}${query}`, {
      agent,
      method: 'POST',
      headers: {
        host: 'soak.example',
        'request-id': id,
        'token-counts': '1000,400',
        'prompt-parts': parts.map(part => `${part}:250`).join(','),
      },
      signal: AbortSignal.timeout(GIVE_UP_MS),
    });
    const isCrashing = isFatal || hasPart;
    // An error after the head ends the body, too.
    sent.on('error', () => undefined);
    const startedAtMs = performance.now();
    sent.end(body);
    const answer = await readAnswer(sent, isSlow ? SLOW_PIECE_MS : 0);
    const endedAtMs = performance.now();
    const times = {startedAtMs, endedAtMs};
    return {id, route, gateway, isLarge, isCrashing, ...times, ...answer};
  }
}

/**
 * Reads the answer to a request to its end.
 *
 * @param pieceMs Time to wait after each piece.
 */
async function readAnswer(
  sent: ClientRequest,
  pieceMs: number,
): Promise<Pick<SoakCall, 'status' | 'body' | 'bodyBytes' | 'isCut'>> {
  let status = 0;
  let [body, bodyBytes] = ['', 0];
  let isCut = false;
  try {
    const [answer] = (await once(sent, 'response')) as [IncomingMessage];
    status = answer.statusCode ?? 0;
    for await (const chunk of answer) {
      const text = String(chunk);
      bodyBytes += text.length;
      body += text.slice(0, KEPT_BODY_LENGTH - body.length);
      if (pieceMs > 0) await pause(pieceMs);
    }
  } catch {
    // A connection that ends early is an outcome, which the checks judge.
    isCut = true;
  }
  return {status, body, bodyBytes, isCut};
}
