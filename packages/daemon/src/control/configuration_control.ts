import {
  ConfigurationActionKind,
  ConfigurationEventKind,
  ConfigurationReplica,
  type ConfigurationAction,
  type ConfigurationEvent,
  type ConfigurationProblem,
  type ConfigurationRevision,
  type Member,
} from '@parsleywood/config';
import type {Failure} from '@parsleywood/errors';
import type {ConfigurationMessage} from '@parsleywood/schema/configuration';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Result} from 'true-myth';
import type {Clock} from '../host/clock.js';
import {encodePublishedValue} from './encode_published_value.js';
import type {ConfigurationListener} from './configuration_listener.js';
import {DecisionRunner} from '../host/decision_runner.js';
import type {EventLog} from '../host/event_log.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import type {PlatformClient} from './platform_client.js';
import type {PublishedValue} from './published_value.js';

/**
 * Runs the configuration replica: performs its reads at the configuration service,
 * sends its messages to peers, and passes on what comes into force.
 */
export class ConfigurationControl {
  private readonly replica: ConfigurationReplica;
  private readonly runner: DecisionRunner<
    ConfigurationEvent,
    ConfigurationAction
  >;
  private currentRevision: ConfigurationRevision | undefined;

  constructor(
    site: string,
    self: Member,
    seed: number,
    private readonly clock: Clock,
    private readonly platform: PlatformClient,
    private readonly transport: PeerTransport,
    private readonly log: EventLog,
    private readonly listener: ConfigurationListener,
  ) {
    this.replica = new ConfigurationReplica(site, self, xoroshiro128plus(seed));
    this.runner = new DecisionRunner(
      this.replica,
      clock,
      {kind: ConfigurationEventKind.WAKE},
      action => {
        this.apply(action);
      },
    );
  }

  start(): void {
    this.runner.dispatch({kind: ConfigurationEventKind.WAKE});
  }

  stop(): void {
    this.runner.stop();
  }

  /** Returns the revisions in force; undefined before the first settings. */
  getRevision(): ConfigurationRevision | undefined {
    return this.currentRevision;
  }

  /** Returns the milliseconds since the service last confirmed every value. */
  getConfirmedAgeMs(): number {
    return this.replica.confirmedAgeMs(this.clock.nowMs());
  }

  listProblems(): ConfigurationProblem[] {
    return this.replica.problems();
  }

  handleMessage(from: string, message: ConfigurationMessage): void {
    this.runner.dispatch({kind: ConfigurationEventKind.MESSAGE, from, message});
  }

  setMembers(members: readonly Member[]): void {
    this.runner.dispatch({kind: ConfigurationEventKind.MEMBERS, members});
  }

  private apply(action: ConfigurationAction): void {
    switch (action.kind) {
      case ConfigurationActionKind.WATCH:
        this.dispatchReadResult(
          action.key,
          this.platform.watch(action.key, action.afterRevision, action.waitMs),
        );
        break;
      case ConfigurationActionKind.READ:
        this.dispatchReadResult(action.key, this.platform.read(action.key));
        break;
      case ConfigurationActionKind.SEND:
        this.transport.send(action.to, {
          body: {$case: 'configuration', value: action.message},
        });
        break;
      case ConfigurationActionKind.APPLY_SETTINGS:
        this.currentRevision = action.revision;
        this.listener.onSettings(action.settings);
        this.log.info('configuration_in_force', {...action.revision});
        break;
      case ConfigurationActionKind.APPLY_HOSTS:
        this.listener.onHosts(action.list, action.revision);
        break;
      case ConfigurationActionKind.APPLY_UPSTREAMS:
        this.listener.onUpstreams(action.list, action.revision);
        break;
      case ConfigurationActionKind.RAISE_ALARM:
        this.log.error('configuration_alarm', {
          detail: JSON.stringify(action.problem),
        });
        break;
    }
  }

  private dispatchReadResult(
    key: string,
    pendingRead: Promise<Result<PublishedValue | number, Failure>>,
  ): void {
    void pendingRead.then(result => {
      if (result.isErr) {
        this.log.debug('configuration_read_failed', {
          detail: result.error.message,
        });
        this.runner.dispatch({kind: ConfigurationEventKind.READ_FAILED, key});
        return;
      }
      const published = result.value;
      if (typeof published === 'number') {
        const kind = ConfigurationEventKind.UNCHANGED;
        this.runner.dispatch({kind, key, revision: published});
        return;
      }
      this.runner.dispatch({
        kind: ConfigurationEventKind.VALUE,
        key,
        revision: published.revision,
        value: encodePublishedValue(published.value),
      });
    });
  }
}
