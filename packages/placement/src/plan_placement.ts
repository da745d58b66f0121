import {orderByRendezvous} from '@parsleywood/routing';
import type {ModelSettings, Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import {EngineOrderKind} from './engine_order_kind.js';
import type {PlacementPlan} from './placement_plan.js';
import type {PlacementRevision} from './placement_revision.js';
import {toFencing} from './to_fencing.js';
import type {WantedEngine} from './desired_engine.js';
import type {WantedLoad} from './desired_artifact.js';

const DEFAULT_READ_BACK_MS = 5_000;
const PREFILL = 'prefill';
const BOTH = 'both';

/**
 * Computes the state wanted of every engine, the same on every host.
 *
 * @return Undefined where orders are off or the revision has no fencing number.
 */
export function planPlacement(
  settings: Settings,
  list: UpstreamList,
  revision: PlacementRevision,
): PlacementPlan | undefined {
  const {placement = {}, models = {}} = settings;
  const fencing = toFencing(revision);
  if (!placement.enabled || fencing === undefined) return undefined;
  const engines = Object.entries(models).flatMap(([name, model]) =>
    model === undefined ? [] : planModel(name, model, list),
  );
  const {weightStoreBytesPerSecond: bytesPerSecond} = placement;
  return {
    fencing,
    engines,
    ...(bytesPerSecond === undefined ? {} : {bytesPerSecond}),
    loadsAtOnce: placement.loadsAtOnce ?? 1,
    readBackMs: placement.readBackMs ?? DEFAULT_READ_BACK_MS,
  };
}

function planModel(
  name: string,
  model: ModelSettings,
  list: UpstreamList,
): WantedEngine[] {
  const {version, prefillEngines = 0, checksFencing = false} = model;
  if (version === undefined) return [];
  const live = list.upstreams
    .filter(one => one.kind === 'engine' && one.serves === name)
    .filter(one => one.state === 'live')
    .map(one => one.name);
  const chosen = orderByRendezvous(name, live).slice(0, model.engines);
  const loads = listLoads(name, version, model);
  return chosen.map((engine, index) => ({
    engine,
    model: name,
    role: index < prefillEngines ? PREFILL : BOTH,
    loads,
    checksFencing,
  }));
}

function listLoads(
  name: string,
  version: string,
  model: ModelSettings,
): WantedLoad[] {
  const kind = EngineOrderKind.LOAD_MODEL;
  const loads: WantedLoad[] = [
    {kind, name, version, sizeBytes: model.sizeBytes ?? 0},
  ];
  for (const [adapter, wanted] of Object.entries(model.adapters ?? {})) {
    if (wanted === undefined) continue;
    loads.push({
      kind: EngineOrderKind.LOAD_ADAPTER,
      name: adapter,
      version: wanted.version,
      sizeBytes: wanted.sizeBytes,
    });
  }
  return loads;
}
