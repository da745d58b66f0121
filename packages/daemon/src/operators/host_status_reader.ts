import type {HostStatus} from '@parsleywood/schema/host_status';
import type {StartSettings} from '@parsleywood/schema/start_settings';
import type {ConfigurationControl} from '../control/configuration_control.js';
import type {HostState} from '../host/host_state.js';
import type {MembershipControl} from '../control/membership_control.js';
import type {Serving} from '../host/serving.js';

/** Reads the status of this host. */
export class HostStatusReader {
  private readonly startedMs: number;

  constructor(
    private readonly settings: StartSettings,
    private readonly serving: Serving,
    private readonly configuration: ConfigurationControl,
    private readonly membership: MembershipControl,
    private readonly state: () => HostState,
  ) {
    this.startedMs = serving.clock.nowMs();
  }

  read(): HostStatus {
    const {serving, settings} = this;
    const revision = this.configuration.revision();
    const ageMs = this.configuration.confirmedAgeMs();
    return {
      name: settings.host,
      incarnation: serving.incarnation.id,
      state: this.state(),
      failureDomain: settings.failureDomain,
      callers: settings.callersAddress,
      configuration: {
        base: revision?.base ?? 0,
        overlay: revision?.overlay ?? 0,
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
      },
      inFlight: serving.inFlightRequests(),
      queued: serving.admission.queued(),
      upMs: Math.round(serving.clock.nowMs() - this.startedMs),
      members: this.membership.members().map(({host, incarnation, state}) => ({
        name: host,
        incarnation,
        state,
      })),
      upstreams: serving.site
        .allUpstreams()
        .map(({name, kind, serves, address}) => ({
          ...{name, kind, serves, address},
          state: serving.upstreams.stateOf(name),
          inFlight: serving.openCalls(name),
        })),
    };
  }
}
