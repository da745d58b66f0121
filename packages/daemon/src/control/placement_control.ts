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

/** Runs the placement decisions against the engines of the site. */
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

  /** Takes the settings and the upstream list in force, and their revisions. */
  setPlan(
    settings: Settings,
    list: UpstreamList,
    {base, overlay}: ConfigurationRevision,
    upstreams: number,
  ): void {
    const revision = {base, overlay, upstreams};
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
   * Takes the view of the hosts.
   *
   * @param alive Names of the hosts believed alive.
   * @param listed Hosts of the published list.
   */
  setMembers(alive: readonly string[], listed: number): void {
    this.runner.dispatch({kind: PlacementEventKind.MEMBERS, alive, listed});
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
      event = isRead ? await this.read(engine) : await this.order(action);
    } catch (error) {
      this.log.debug('placement_call_failed', {engine, detail: String(error)});
    }
    this.runner.dispatch(event);
  }

  private async read(engine: string): Promise<PlacementEvent> {
    const content = await this.client.read(engine);
    return content === undefined
      ? {kind: PlacementEventKind.READ_FAILED, engine}
      : {kind: PlacementEventKind.READ_BACK, engine, content};
  }

  private async order(
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
