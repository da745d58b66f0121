import {PassModel} from '@parsleywood/dispatch';
import {
  UpstreamStage,
  type Service,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {LoadPattern} from '@parsleywood/schema/load_pattern';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualTime} from '@parsleywood/types/testing';
import {drawArrivals} from './draw_arrivals.js';
import {EmulatedRequest} from './emulated_request.js';
import {EngineModel} from './engine_model.js';
import {HostModel} from './host_model.js';
import type {PolicyName} from './policy_name.js';
import type {RequestResult} from './request_result.js';

/** Plays a pattern under one policy; the same seed gives the same load. */
export function emulate(
  pattern: LoadPattern,
  policy: PolicyName,
  seed: number,
): RequestResult[] {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const arrivals = drawArrivals(pattern, draw);
  const time = new VirtualTime();
  const service: Service = {name: 'engines', engine: pattern.engine};
  const entries = listEngines(pattern);
  const model = new PassModel(pattern.engine);
  const engines = new Map(
    entries.map(({id}) => [id, new EngineModel(model, time)]),
  );
  const listed = [...entries];
  const results: RequestResult[] = [];
  const world = {
    time,
    hosts: Array.from(
      {length: pattern.hosts},
      (_none, at) => new HostModel(`host-${at}`, policy, model),
    ),
    engines,
    entries: listed,
    service,
    newsDelayMs: pattern.newsDelayMs,
    // Engines at their published speed need no measurement.
    measuresPasses: hasSlowEngines(pattern),
    draw,
    record: (result: RequestResult): void => {
      results.push(result);
    },
  };
  for (const [at, arrival] of arrivals.entries()) {
    const kind = pattern.kinds[arrival.kind];
    if (kind === undefined) continue;
    // Recorded requests stand beside their callers' own returns.
    const returns = pattern.arrivals === undefined;
    time.after(arrival.atMs, () => {
      const {promptTokens, answerTokens} = arrival;
      new EmulatedRequest(
        world,
        `r${at}`,
        kind,
        promptTokens,
        answerTokens,
        returns,
      ).start();
    });
  }
  for (const crash of pattern.crashes ?? []) {
    const {atMs, forMs, engines: count, slowFactor = 1, slowMs = 0} = crash;
    time.after(atMs, () => {
      for (const {id} of entries.slice(0, count)) {
        engines.get(id)?.crash(forMs);
        engines.get(id)?.slowDown(slowFactor, forMs + slowMs);
      }
    });
  }
  for (const start of pattern.starts ?? []) {
    const {atMs, engines: count, slowFactor = 1, slowMs = 0} = start;
    const started = listed.splice(listed.length - count);
    time.after(atMs, () => {
      listed.push(...started);
      for (const {id} of started) {
        engines.get(id)?.slowDown(slowFactor, slowMs);
        for (const host of world.hosts) host.recordListed(id, atMs);
      }
    });
  }
  time.runAll();
  return results;
}

function hasSlowEngines({crashes = [], starts = []}: LoadPattern): boolean {
  return [...crashes, ...starts].some(({slowFactor = 1}) => slowFactor > 1);
}

function listEngines({engines, engine}: LoadPattern): UpstreamEntry[] {
  return Array.from({length: engines}, (_none, at) => ({
    id: `engine-${at}`,
    service: 'engines',
    address: `192.0.2.1:${at + 1}`,
    failureDomain: 'domain',
    stage: UpstreamStage.READY,
    slots: engine.slots,
  }));
}
