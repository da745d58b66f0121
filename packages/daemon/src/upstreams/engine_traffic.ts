import {
  LaneRouter,
  PromptTokenEstimator,
  RouterEventKind,
  type Choice,
  type ClassDemand,
  type PromptUsage,
  type RoutedRequest,
  type Router,
  type RouterEvent,
  type Upstream,
} from '@parsleywood/routing';
import type {LengthClassSettings, Settings} from '@parsleywood/schema/settings';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {Clock} from '../host/clock.js';
import type {SiteView} from '../host/site_view.js';

/**
 * Chooses engines for requests through the router, and passes the router the
 * events and settings that it needs.
 */
export class EngineTraffic {
  private readonly random: RandomGenerator;
  private readonly promptEstimate: PromptTokenEstimator;
  private router: Router | undefined;
  private lengthClassesJson = '';
  private isUsable: (upstream: string) => boolean = () => false;

  constructor(
    private readonly host: string,
    private readonly clock: Clock,
    private readonly site: SiteView,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
    this.promptEstimate = new PromptTokenEstimator(
      model => site.settings()?.models[model]?.bytesPerToken,
    );
  }

  /** Sets the function that tells whether an upstream may receive new work. */
  useLiveness(isUsable: (upstream: string) => boolean): void {
    this.isUsable = isUsable;
  }

  /**
   * Returns the estimated number of prompt tokens.
   *
   * @param bytes Bytes of prompt text.
   */
  estimateTokens(account: string, model: string, bytes: number): number {
    return this.promptEstimate.estimateTokens(account, model, bytes);
  }

  observeUsage(usage: PromptUsage): void {
    this.promptEstimate.observeUsage(usage);
  }

  /** Applies new settings. A change of the length classes rebuilds the router. */
  applySettings(settings: Settings): void {
    const lengthClassesJson = JSON.stringify(settings.lengthClasses);
    if (lengthClassesJson !== this.lengthClassesJson) {
      this.lengthClassesJson = lengthClassesJson;
      this.router = new LaneRouter({
        host: this.host,
        lengthClasses: settings.lengthClasses as [
          LengthClassSettings,
          ...LengthClassSettings[],
        ],
        random: this.random,
      });
    }
    this.applyUpstreams();
  }

  /** Passes the router the current engines and whether each is usable. */
  applyUpstreams(): void {
    const upstreams = this.listEngines();
    this.observe({kind: RouterEventKind.UPSTREAMS, upstreams});
  }

  /** Returns the engines that may receive new work. */
  usableEngines(): Upstream[] {
    return this.listEngines().filter(({leaving}) => !leaving);
  }

  private listEngines(): Upstream[] {
    const models = this.site.settings()?.models ?? {};
    return this.site
      .allUpstreams()
      .filter(upstream => upstream.kind === 'engine')
      .map(({name, serves}) => ({
        name,
        model: serves,
        memoryTokens: models[serves]?.engineMemoryTokens ?? 0,
        leaving: !this.isUsable(name),
      }));
  }

  choose(request: RoutedRequest): Choice | undefined {
    return this.router?.choose(request, this.clock.nowMs());
  }

  /** Returns the current priority of a running request; 0 is served first. */
  priority(request: RoutedRequest): number | undefined {
    return this.router?.priority(request, this.clock.nowMs());
  }

  observe(event: RouterEvent): void {
    this.router?.observe(event, this.clock.nowMs());
  }

  observePeerDemand(host: string, demands: readonly ClassDemand[]): void {
    this.observe({kind: RouterEventKind.PEER_DEMAND, host, demands});
  }

  demand(): ClassDemand[] {
    return this.router?.getDemand(this.clock.nowMs()) ?? [];
  }
}
