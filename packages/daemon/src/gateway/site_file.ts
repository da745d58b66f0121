import {stat} from 'node:fs/promises';
import {setTimeout as pause} from 'node:timers/promises';
import {
  formatProblem,
  readSettingsFile,
  SchemaCheck,
} from '@parsleywood/config';
import {
  DEFAULT_CALLER_LIMITS,
  type Configuration,
  type SiteChange,
  type SiteSnapshot,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import {PUBLISHED_SITE_SCHEMA} from '@parsleywood/schema/published_site';
import {Result} from 'true-myth';
import type {SiteSource} from './site_source.js';
import type {SourceFault} from './source_fault.js';
import {SourceFaultKind} from './source_fault_kind.js';

/** How often the file is looked at, in milliseconds. */
const LOOK_MS = 500;
/** Longest time that a watch waits for a change, in milliseconds. */
const WATCH_MS = 2_500;

/** The file's content as the schema checks it, with its defaults filled in. */
type Site = Omit<Configuration, 'limits'> & {
  readonly limits?: Partial<Configuration['limits']>;
  readonly upstreams: readonly UpstreamEntry[];
};

/** A site published in a JSON file; its version is the revision. */
export class SiteFile implements SiteSource {
  private readonly check = new SchemaCheck<Site>(PUBLISHED_SITE_SCHEMA);
  private known: ReadonlySet<string> = new Set();
  private changedAtMs = NaN;
  private isClosed = false;

  constructor(private readonly path: string) {}

  load(): Promise<Result<SiteSnapshot, SourceFault>> {
    return Promise.resolve(this.read());
  }

  async watch(revision: number): Promise<Result<SiteChange, SourceFault>> {
    for (let waitedMs = 0; waitedMs < WATCH_MS; waitedMs += LOOK_MS) {
      if (this.isClosed) break;
      await pause(LOOK_MS);
      if (!(await this.hasChanged())) continue;
      const before = this.known;
      const site = this.read();
      if (site.isErr) {
        this.changedAtMs = NaN;
        return Result.err(site.error);
      }
      if (site.value.revision > revision) {
        const {upstreams, ...rest} = site.value;
        const removed = [...before].filter(id => !this.known.has(id));
        return Result.ok({...rest, written: upstreams, removed});
      }
    }
    return Result.ok({revision, written: [], removed: []});
  }

  close(): void {
    this.isClosed = true;
  }

  private async hasChanged(): Promise<boolean> {
    try {
      const {mtimeMs} = await stat(this.path);
      const hasChanged = mtimeMs !== this.changedAtMs;
      this.changedAtMs = mtimeMs;
      return hasChanged;
    } catch {
      // Reading the file tells what is wrong.
      return true;
    }
  }

  private read(): Result<SiteSnapshot, SourceFault> {
    return readSettingsFile(this.path)
      .mapErr(({message}) => message)
      .andThen(content =>
        this.check
          .run(content)
          .mapErr(([first]) =>
            first ? `${this.path}: ${formatProblem(first)}` : this.path,
          ),
      )
      .map(site => this.toSnapshot(site))
      .mapErr(detail => ({kind: SourceFaultKind.UNAVAILABLE, detail}));
  }

  private toSnapshot({upstreams, limits, ...rest}: Site): SiteSnapshot {
    this.known = new Set(upstreams.map(({id}) => id));
    return {
      revision: rest.version,
      configuration: {...rest, limits: {...DEFAULT_CALLER_LIMITS, ...limits}},
      upstreams,
    };
  }
}
