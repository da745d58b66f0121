import {stat} from 'node:fs/promises';
import {setTimeout as pause} from 'node:timers/promises';
import {
  formatProblem,
  isAddress,
  readSettingsFile,
  SchemaValidator,
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
import type {SiteSourceError} from './site_source_error.js';
import {SiteSourceErrorKind} from './site_source_error_kind.js';

/** Interval at which the file is checked for changes, in milliseconds. */
const POLL_INTERVAL_MS = 500;
/** Time after which a watch without changes returns, in milliseconds. */
const WATCH_TIMEOUT_MS = 2_500;

/** The file's content after validation, with the schema's defaults filled in. */
type PublishedSite = Omit<Configuration, 'limits'> & {
  readonly epoch: number;
  readonly revision?: number;
  readonly limits?: Partial<Configuration['limits']>;
  readonly upstreams: readonly UpstreamEntry[];
  readonly evacuatedDomains: readonly string[];
};

/**
 * Site published in a JSON file. Where the file has no revision, its version
 * serves as one.
 */
export class SiteFile implements SiteSource {
  private readonly schemaCheck = new SchemaValidator<PublishedSite>(
    PUBLISHED_SITE_SCHEMA,
  );
  private knownEpoch = 0;
  private knownUpstreams: ReadonlySet<string> = new Set();
  private knownEvacuations: readonly string[] = [];
  private lastModifiedMs = NaN;
  private isClosed = false;

  constructor(private readonly path: string) {}

  load(): Promise<Result<SiteSnapshot, SiteSourceError>> {
    return Promise.resolve(this.read());
  }

  async watch(
    revision: number,
    isProbe: boolean,
  ): Promise<Result<SiteChange, SiteSourceError>> {
    const limitMs = isProbe ? POLL_INTERVAL_MS : WATCH_TIMEOUT_MS;
    for (let waitedMs = 0; waitedMs < limitMs; waitedMs += POLL_INTERVAL_MS) {
      if (this.isClosed) break;
      await pause(POLL_INTERVAL_MS);
      if (!(await this.hasChanged())) continue;
      const [epoch, previous] = [this.knownEpoch, this.knownUpstreams];
      const earlier = this.knownEvacuations;
      const site = this.read();
      if (site.isErr) {
        this.lastModifiedMs = NaN;
        return Result.err(site.error);
      }
      if (site.value.epoch !== epoch || site.value.revision > revision) {
        const {
          upstreams,
          evacuatedDomains: evacuated = [],
          ...rest
        } = site.value;
        const removed = [...previous].filter(
          id => !this.knownUpstreams.has(id),
        );
        return Result.ok({
          ...rest,
          updated: upstreams,
          removed,
          evacuated,
          restored: earlier.filter(domain => !evacuated.includes(domain)),
        });
      }
    }
    const {knownEpoch: epoch} = this;
    return Result.ok({
      epoch,
      revision,
      updated: [],
      removed: [],
      evacuated: [],
      restored: [],
    });
  }

  close(): void {
    this.isClosed = true;
  }

  private async hasChanged(): Promise<boolean> {
    try {
      const {mtimeMs} = await stat(this.path);
      const hasChanged = mtimeMs !== this.lastModifiedMs;
      this.lastModifiedMs = mtimeMs;
      return hasChanged;
    } catch {
      // Reading the file then reports the error.
      return true;
    }
  }

  private read(): Result<SiteSnapshot, SiteSourceError> {
    return readSettingsFile(this.path)
      .mapErr(({message}) => message)
      .andThen(content =>
        this.schemaCheck
          .validate(content)
          .mapErr(([first]) =>
            first ? `${this.path}: ${formatProblem(first)}` : this.path,
          ),
      )
      .andThen(site => {
        const odd = site.upstreams.find(({address}) => !isAddress(address));
        return odd === undefined
          ? Result.ok(site)
          : Result.err(`${this.path}: address of upstream "${odd.id}"`);
      })
      .map(site => this.toSnapshot(site))
      .mapErr(detail => ({kind: SiteSourceErrorKind.UNAVAILABLE, detail}));
  }

  private toSnapshot({
    upstreams,
    limits,
    epoch,
    revision,
    evacuatedDomains,
    ...rest
  }: PublishedSite): SiteSnapshot {
    this.knownEpoch = epoch;
    this.knownUpstreams = new Set(upstreams.map(({id}) => id));
    this.knownEvacuations = evacuatedDomains;
    return {
      epoch,
      revision: revision ?? rest.version,
      configuration: {...rest, limits: {...DEFAULT_CALLER_LIMITS, ...limits}},
      upstreams,
      evacuatedDomains,
    };
  }
}
