import {setTimeout as pause} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {Agent} from 'undici';
import {CheckedUpstream} from './checked_upstream.js';
import type {SoakCall} from './soak_call.js';
import type {SoakRoute} from './soak_route.js';
import {SOAK_ROUTES} from './soak_routes.js';

const CALLERS = 16;
const PAUSE_MS = 40;
/** One request of so many crashes upstreams. */
const CRASH_INTERVAL = 30;
/** Number of different requests on each route that crash upstreams. */
const CRASHING_REQUESTS = 3;
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

  /** @param addresses IP:port of the gateways. */
  constructor(
    private readonly addresses: readonly string[],
    private readonly random: RandomGenerator,
  ) {}

  start(): void {
    this.loops = Array.from({length: CALLERS}, () => this.loop());
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.loops);
  }

  private async loop(): Promise<void> {
    // Shared connections would count the wait for a free one as the gateway's.
    const agent = new Agent({connections: 1, pipelining: 1});
    while (!this.isStopping) {
      const last = this.addresses.length - 1;
      const gateway = uniformInt(this.random, 0, last);
      const at = uniformInt(this.random, 0, SOAK_ROUTES.length - 1);
      const route = SOAK_ROUTES[at];
      if (route) this.calls.push(await this.callOrCrash(agent, gateway, route));
      await pause(PAUSE_MS);
    }
    await agent.destroy();
  }

  /** Sends a request of its own, or now and then one that crashes upstreams. */
  private async callOrCrash(
    agent: Agent,
    gateway: number,
    route: SoakRoute,
  ): Promise<SoakCall> {
    const id = `s${this.started++}`;
    const isCrashing =
      this.allowsCrashes && uniformInt(this.random, 1, CRASH_INTERVAL) === 1;
    const one = uniformInt(this.random, 1, CRASHING_REQUESTS);
    const body = isCrashing ? `${CheckedUpstream.crashMarker} ${one}` : id;
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
    // The last of the crashing requests comes with another query each time.
    const query = one === CRASHING_REQUESTS ? `?at=${id}` : '';
    const call = await this.call(agent, gateway, route, id, body, parts, query);
    return {...call, isCrashing: isCrashing || hasPart};
  }

  private async call(
    agent: Agent,
    gateway: number,
    route: SoakRoute,
    id: string,
    sentBody: string,
    parts: readonly string[],
    query: string,
  ): Promise<Omit<SoakCall, 'isCrashing'>> {
    const startedAtMs = performance.now();
    let status = 0;
    let body = '';
    let isCut = false;
    try {
      const answer = await agent.request({
        origin: `http://${this.addresses[gateway] ?? ''}`,
        path: `${route.path}${query}`,
        method: 'POST',
        headers: {
          host: 'soak.example',
          'request-id': id,
          'token-counts': '1000,400',
          'prompt-parts': parts.map(part => `${part}:250`).join(','),
        },
        body: sentBody,
        signal: AbortSignal.timeout(GIVE_UP_MS),
      });
      status = answer.statusCode;
      for await (const chunk of answer.body) body += String(chunk);
    } catch {
      // A connection that ends early is an outcome, which the checks judge.
      isCut = true;
    }
    const endedAtMs = performance.now();
    return {id, route, gateway, startedAtMs, endedAtMs, status, body, isCut};
  }
}
