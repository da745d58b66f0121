import {chooseReachSample} from '@parsleywood/dispatch';
import type {SiteReplica, UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {canConnect} from './can_connect.js';
import {PathResult} from './path_result.js';
import type {PathSample} from './path_sample.js';
import {reachTiming} from './reach_timing.js';
import {testPath} from './test_path.js';

/** With fewer upstreams to ask, their silence says nothing about the host's paths. */
const MIN_ASKED = 2;

/** Tests the paths of this host to a few upstreams at once. */
export class PathTester {
  /**
   * @param isSpared Whether an upstream is tested only where others are missing.
   * @param draw Returns a random number in [0, 1).
   */
  constructor(
    private readonly replica: SiteReplica,
    private readonly metrics: GatewayMetrics,
    private readonly isSpared: (upstream: UpstreamEntry) => boolean,
    private readonly draw: () => number,
  ) {}

  /** Whether several upstreams can be asked for an answer. */
  get canAsk(): boolean {
    return this.listAskable().length >= MIN_ASKED;
  }

  /**
   * Tests up to `count` upstreams; one whose path works ends the test.
   *
   * @param needsAnswer Whether a path must return something to count as working,
   *     where several upstreams can be asked.
   */
  async testSome(
    count: number,
    needsAnswer: boolean,
    answerMs: number = reachTiming.answerMs,
  ): Promise<PathSample> {
    const asks = needsAnswer && this.canAsk;
    const upstreams = asks ? this.listAskable() : this.replica.upstreams.list();
    const sample = chooseReachSample(
      upstreams,
      one => this.isSpared(one),
      count,
      this.draw,
    );
    let silent = 0;
    const tests = sample.map(async upstream => {
      const result = await this.test(upstream, asks, answerMs);
      if (result === PathResult.WORKING) return upstream;
      if (result === PathResult.SILENT) silent++;
      throw new Error(result);
    });
    const working = await Promise.any(tests).catch(() => undefined);
    return {working, tested: sample.length, silent};
  }

  /** Tests one upstream. */
  async test(
    {address, service}: UpstreamEntry,
    needsAnswer: boolean,
    answerMs: number = reachTiming.answerMs,
  ): Promise<PathResult> {
    const healthPath = needsAnswer ? this.findHealthPath(service) : undefined;
    if (healthPath === undefined) {
      const isOpen = await canConnect(address, reachTiming.openMs);
      return isOpen ? PathResult.WORKING : PathResult.REFUSED;
    }
    const result = await testPath(address, healthPath, answerMs);
    this.metrics.pathTests.inc({result});
    return result;
  }

  /** Lists the upstreams with a health path, except cold ones, which take few requests. */
  private listAskable(): UpstreamEntry[] {
    return this.replica.upstreams
      .list()
      .filter(
        ({service, coldRemainingMs = 0}) =>
          coldRemainingMs === 0 && this.findHealthPath(service) !== undefined,
      );
  }

  private findHealthPath(service: string): string | undefined {
    return this.replica.rules?.findService(service)?.healthPath;
  }
}
