import {checkSettings} from './check_settings.js';
import type {EventLog} from './event_log.js';
import type {PlatformClient} from './platform_client.js';
import type {SiteView} from './site_view.js';

const WAIT_MS = 10_000;
const BACKOFF_MS = 500;

/** Keeps the site's values up to date from the configuration service. */
export class PlatformWatch {
  private stopped = false;
  private readonly values = new Map<string, unknown>();

  constructor(
    private readonly platform: PlatformClient,
    private readonly view: SiteView,
    private readonly site: string,
    private readonly log: EventLog,
  ) {}

  start(): void {
    const keys = ['base', `sites/${this.site}`];
    keys.push(`hosts/${this.site}`, `upstreams/${this.site}`);
    for (const key of keys) void this.follow(key);
  }

  stop(): void {
    this.stopped = true;
  }

  isReady(): boolean {
    return this.view.settings() !== undefined && this.values.size >= 4;
  }

  private async follow(key: string): Promise<void> {
    let revision = 0;
    while (!this.stopped) {
      const result = await this.platform.watch(key, revision, WAIT_MS);
      if (result.isErr) {
        this.log.warn('platform_unavailable', {detail: result.error.message});
        await new Promise(resolve => setTimeout(resolve, BACKOFF_MS));
      } else if (result.value && result.value.revision > revision) {
        revision = result.value.revision;
        this.apply(key, result.value.value);
      }
    }
  }

  private apply(key: string, value: unknown): void {
    this.values.set(key, value);
    const base = this.values.get('base');
    const overlay = this.values.get(`sites/${this.site}`);
    if (key.startsWith('hosts/')) {
      this.view.applyHosts(value as never);
    } else if (key.startsWith('upstreams/')) {
      this.view.applyUpstreams(value as never);
    } else if (base !== undefined && overlay !== undefined) {
      const settings = checkSettings(base, overlay);
      if (settings !== undefined) this.view.applySettings(settings);
    }
  }
}
