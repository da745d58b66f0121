import type {SiteChange} from './site_change.js';
import type {SiteSnapshot} from './site_snapshot.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Computes the change that leads from one snapshot to a later one of its epoch. */
export function compareSnapshots(
  before: SiteSnapshot,
  after: SiteSnapshot,
): SiteChange {
  const {epoch, revision, configuration, upstreams} = after;
  const known = new Map(before.upstreams.map(entry => [entry.id, entry]));
  const kept = new Set(upstreams.map(({id}) => id));
  const isNewer =
    configuration !== undefined &&
    configuration.version > (before.configuration?.version ?? 0);
  return {
    epoch,
    revision,
    ...(isNewer && {configuration}),
    updated: upstreams.filter(
      entry => !isSameWrite(known.get(entry.id), entry),
    ),
    removed: [...known.keys()].filter(id => !kept.has(id)),
    ...compareEvacuations(before, after),
  };
}

/** Tells nothing where one of the snapshots does not know all evacuations. */
function compareEvacuations(
  before: SiteSnapshot,
  after: SiteSnapshot,
): Pick<SiteChange, 'evacuated' | 'restored'> {
  const {evacuatedDomains: earlier, evacuationRevision} = before;
  const {evacuatedDomains: later} = after;
  if (!earlier || !later) return {};
  if ((evacuationRevision ?? after.evacuationRevision) !== undefined) return {};
  return {
    evacuated: later.filter(domain => !earlier.includes(domain)),
    restored: earlier.filter(domain => !later.includes(domain)),
  };
}

/** Whether two entries were written at the same revision. */
function isSameWrite(
  left: UpstreamEntry | undefined,
  right: UpstreamEntry,
): boolean {
  return left?.revision !== undefined && left.revision === right.revision;
}
