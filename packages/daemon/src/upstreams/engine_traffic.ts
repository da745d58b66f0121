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

/** Chooses engines for requests, by the router, and keeps it informed. */
export class EngineTraffic {
  private readonly random: RandomGenerator;
  private readonly estimator: PromptTokenEstimator;
  private router: Router | undefined;
  private classes = '';
  private isUsable: (upstream: string) => boolean = () => false;

  constructor(
    private readonly host: string,
    private readonly clock: Clock,
    private readonly site: SiteView,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
    this.estimator = new PromptTokenEstimator(
      model => site.settings()?.models[model]?.bytesPerToken,
    );
  }

  /** Sets what tells whether an upstream may get new work. */
  useLiveness(isUsable: (upstream: string) => boolean): void {
    this.isUsable = isUsable;
  }

  /** Estimated tokens of a prompt. */
  estimateTokens(account: string, model: string, bytes: number): number {
    return this.estimator.estimateTokens(account, model, bytes);
  }

  observeUsage(usage: PromptUsage): void {
    this.estimator.observeUsage(usage);
  }

  /** Rebuilds the router when the length classes changed. */
  applySettings(settings: Settings): void {
    const classes = JSON.stringify(settings.lengthClasses);
    if (classes !== this.classes) {
      this.classes = classes;
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

  /** Takes over the listed engines; those not usable get no new work. */
  applyUpstreams(): void {
    const upstreams = this.listEngines();
    this.observe({kind: RouterEventKind.UPSTREAMS, upstreams});
  }

  /** The engines that may get new work. */
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

  /** Priority of a running request at this time; 0 is served first. */
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
