import {EngineCommandKind, toFencingToken} from '@parsleywood/placement';
import type {Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import {startEngine, type StandIn} from '@parsleywood/stand-ins';
import {expect} from 'chai';
import {EventLog} from '../host/event_log.js';
import {PlacementClient} from '../upstreams/placement_client.js';
import {PlacementControl} from './placement_control.js';
import {SiteView} from '../host/site_view.js';
import {SystemClock} from '../host/system_clock.js';
import {UpstreamPools} from '../upstreams/upstream_pools.js';

const MODEL = 'demo-llm';
const LOADS = {loadModelMs: 100, loadAdapterMs: 50};
const REVISION = {base: 2, overlay: 1};
const WITHIN_MS = 25_000;

describe('PlacementControl', () => {
  for (const ignoresFencing of [false, true]) {
    const name = ignoresFencing ? 'ignore' : 'check';
    it(`brings engines that ${name} fencing to the settings`, async () => {
      const options = {models: [MODEL], options: LOADS, ignoresFencing};
      const engines = [await startEngine(options), await startEngine(options)];
      const pools = new UpstreamPools();
      const control = startControl(engines, !ignoresFencing, pools);
      const fencing = toFencingToken({...REVISION, upstreams: 1});
      const {LOAD_MODEL, LOAD_ADAPTER} = EngineCommandKind;
      const wanted = {
        fencing,
        role: 'both',
        loads: [
          {kind: LOAD_MODEL, name: MODEL, version: 'v2', ready: true},
          {kind: LOAD_ADAPTER, name: 'seams', version: 'a1', ready: true},
        ],
      };
      const untilMs = performance.now() + WITHIN_MS;
      let seen: unknown[] = [];
      while (performance.now() < untilMs) {
        seen = await Promise.all(engines.map(readOrders));
        if (JSON.stringify(seen) === JSON.stringify([wanted, wanted])) break;
        await new Promise(resolve => setTimeout(resolve, 100));
      }
      control.stop();
      await pools.close();
      await Promise.all(engines.map(engine => engine.close()));
      expect(seen).to.deep.equal([wanted, wanted]);
    });
  }
});

function startControl(
  engines: readonly StandIn[],
  checksFencing: boolean,
  pools: UpstreamPools,
): PlacementControl {
  const list: UpstreamList = {
    upstreams: engines.map(({url}, index) => ({
      name: `engine-${index}`,
      address: new URL(url).host,
      kind: 'engine',
      serves: MODEL,
      failureDomain: 'tnv-a',
      state: 'live',
    })),
  };
  const settings = {
    models: {
      [MODEL]: {
        contextTokens: 1_000,
        engineMemoryTokens: 1_000,
        version: 'v2',
        sizeBytes: 1_000,
        adapters: {seams: {version: 'a1', sizeBytes: 10}},
        checksFencing,
      },
    },
    placement: {enabled: true, weightStoreBytesPerSecond: 10_000},
  } as unknown as Settings;
  const site = new SiteView();
  site.applyUpstreams(list);
  const log = new EventLog({host: 'host-1', id: '1'}, 'error');
  const client = new PlacementClient(site, pools);
  const control = new PlacementControl(
    'host-1',
    new SystemClock(),
    client,
    log,
  );
  control.setMembers(['host-1'], 1);
  control.setPlan(settings, list, REVISION, 1);
  return control;
}

async function readOrders({url}: StandIn): Promise<unknown> {
  const answer = await fetch(`${url}/v1/orders`);
  return answer.json();
}
