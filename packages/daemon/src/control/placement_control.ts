import {
  PlacementReconciler,
  PlacementActionKind,
  PlacementEventKind,
  planPlacement,
  type PlacementAction,
  type PlacementEvent,
} from '@parsleywood/placement';
import type {ConfigurationRevision} from '@parsleywood/config';
import type {Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import type {Clock} from '../host/clock.js';
import {DecisionRunner} from '../host/decision_runner.js';
import type {EventLog} from '../host/event_log.js';
import type {PlacementClient} from '../upstreams/placement_client.js';

/**
 * Runs the placement decision: reads the state of the engines and sends them
 * its orders.
 */
export class PlacementControl {
  private readonly runner: DecisionRunner<PlacementEvent, PlacementAction>;

  /** @param host Name of this host. */
  constructor(
    host: string,
    private readonly clock: Clock,
    private readonly client: PlacementClient,
    private readonly log: EventLog,
  ) {
    this.runner = new DecisionRunner(
      new PlacementReconciler(host),
      clock,
      {kind: PlacementEventKind.WAKE},
      action => {
        void this.apply(action);
      },
    );
  }

  /**
   * Updates the plan from the settings and the upstream list in force.
   *
   * @param upstreamListRevision Revision of the upstream list.
   */
  setPlan(
    settings: Settings,
    list: UpstreamList,
    {base, overlay}: ConfigurationRevision,
    upstreamListRevision: number,
  ): void {
    const revision = {base, overlay, upstreams: upstreamListRevision};
    const plan = planPlacement(settings, list, revision);
    if (plan !== undefined) {
      this.runner.dispatch({kind: PlacementEventKind.PLAN, plan});
      return;
    }
    this.runner.dispatch({kind: PlacementEventKind.DISABLED});
    if (settings.placement?.enabled) {
      this.log.error('placement_revision_unfit', {...revision});
    }
  }

  /**
   * Updates the view of the hosts.
   *
   * @param alive Names of the hosts that membership considers alive.
   * @param listedCount Number of hosts in the published list.
   */
  setMembers(alive: readonly string[], listedCount: number): void {
    this.runner.dispatch({
      kind: PlacementEventKind.MEMBERS,
      alive,
      listed: listedCount,
    });
  }

  stop(): void {
    this.runner.stop();
  }

  private async apply(action: PlacementAction): Promise<void> {
    const {engine} = action;
    const isRead = action.kind === PlacementActionKind.READ;
    let event: PlacementEvent = {
      kind: isRead
        ? PlacementEventKind.READ_FAILED
        : PlacementEventKind.COMMAND_FAILED,
      engine,
    };
    try {
      event = isRead
        ? await this.readEngine(engine)
        : await this.sendOrder(action);
    } catch (error) {
      this.log.debug('placement_call_failed', {engine, detail: String(error)});
    }
    this.runner.dispatch(event);
  }

  private async readEngine(engine: string): Promise<PlacementEvent> {
    const content = await this.client.read(engine);
    return content === undefined
      ? {kind: PlacementEventKind.READ_FAILED, engine}
      : {kind: PlacementEventKind.READ_BACK, engine, content};
  }

  private async sendOrder(
    action: PlacementAction & {kind: PlacementActionKind.SEND_COMMAND},
  ): Promise<PlacementEvent> {
    const {engine, order, validUntilMs} = action;
    if (this.clock.nowMs() > validUntilMs) {
      return {kind: PlacementEventKind.COMMAND_ENDED, engine};
    }
    const outcome = await this.client.order(engine, order);
    const {fencing, kind, name, version, role} = order;
    const fields = {engine, fencing, kind, name, version, role};
    this.log.info('engine_ordered', {...fields, taken: outcome === true});
    if (outcome === undefined) {
      return {kind: PlacementEventKind.COMMAND_FAILED, engine};
    }
    return outcome === true
      ? {kind: PlacementEventKind.COMMAND_ENDED, engine}
      : {kind: PlacementEventKind.COMMAND_REFUSED, engine, fencing: outcome};
  }
}
