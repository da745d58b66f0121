import {orderByRendezvous} from '@parsleywood/routing';
import type {ModelSettings, Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import type {DesiredArtifact} from './desired_artifact.js';
import type {DesiredEngine} from './desired_engine.js';
import {EngineCommandKind} from './engine_command_kind.js';
import type {PlacementPlan} from './placement_plan.js';
import type {PlacementRevision} from './placement_revision.js';
import {toFencingToken} from './to_fencing_token.js';

const DEFAULT_READ_BACK_MS = 5_000;
const PREFILL_ROLE = 'prefill';
const BOTH_ROLE = 'both';

/**
 * Computes the desired state of every engine. All hosts get the same plan from
 * the same inputs.
 *
 * @return Undefined if placement is disabled or the revision is too large for a
 *     fencing token.
 */
export function planPlacement(
  settings: Settings,
  list: UpstreamList,
  revision: PlacementRevision,
): PlacementPlan | undefined {
  const {placement = {}, models = {}} = settings;
  const fencing = toFencingToken(revision);
  if (!placement.enabled || fencing === undefined) return undefined;
  const engines = Object.entries(models).flatMap(([name, model]) =>
    model === undefined ? [] : planModelEngines(name, model, list),
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

function planModelEngines(
  name: string,
  model: ModelSettings,
  list: UpstreamList,
): DesiredEngine[] {
  const {version, prefillEngines = 0, checksFencing = false} = model;
  if (version === undefined) return [];
  const liveEngines = list.upstreams
    .filter(upstream => upstream.kind === 'engine' && upstream.serves === name)
    .filter(upstream => upstream.state === 'live')
    .map(upstream => upstream.name);
  const selected = orderByRendezvous(name, liveEngines).slice(0, model.engines);
  const loads = listArtifacts(name, version, model);
  return selected.map((engine, index) => ({
    engine,
    model: name,
    role: index < prefillEngines ? PREFILL_ROLE : BOTH_ROLE,
    loads,
    checksFencing,
  }));
}

function listArtifacts(
  name: string,
  version: string,
  model: ModelSettings,
): DesiredArtifact[] {
  const kind = EngineCommandKind.LOAD_MODEL;
  const loads: DesiredArtifact[] = [
    {kind, name, version, sizeBytes: model.sizeBytes ?? 0},
  ];
  for (const [adapter, adapterSettings] of Object.entries(
    model.adapters ?? {},
  )) {
    if (adapterSettings === undefined) continue;
    loads.push({
      kind: EngineCommandKind.LOAD_ADAPTER,
      name: adapter,
      version: adapterSettings.version,
      sizeBytes: adapterSettings.sizeBytes,
    });
  }
  return loads;
}
