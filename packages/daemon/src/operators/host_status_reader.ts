import type {HostStatus} from '@parsleywood/schema/host_status';
import type {StartSettings} from '@parsleywood/schema/start_settings';
import type {ConfigurationControl} from '../control/configuration_control.js';
import type {HostState} from '../host/host_state.js';
import type {MembershipControl} from '../control/membership_control.js';
import type {Serving} from '../host/serving.js';

/** Collects the status that this host reports to operators and peers. */
export class HostStatusReader {
  private readonly startedAtMs: number;

  constructor(
    private readonly settings: StartSettings,
    private readonly serving: Serving,
    private readonly configuration: ConfigurationControl,
    private readonly membership: MembershipControl,
    private readonly readState: () => HostState,
  ) {
    this.startedAtMs = serving.clock.nowMs();
  }

  read(): HostStatus {
    const {serving, settings} = this;
    const revision = this.configuration.getRevision();
    const ageMs = this.configuration.getConfirmedAgeMs();
    return {
      name: settings.host,
      incarnation: serving.incarnation.id,
      state: this.readState(),
      failureDomain: settings.failureDomain,
      callers: settings.callersAddress,
      configuration: {
        base: revision?.base ?? 0,
        overlay: revision?.overlay ?? 0,
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
      },
      inFlight: serving.inFlightRequests(),
      queued: serving.admission.countQueued(),
      upMs: Math.round(serving.clock.nowMs() - this.startedAtMs),
      members: this.membership
        .listMembers()
        .map(({host, incarnation, state}) => ({
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
