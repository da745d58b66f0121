import type {RouteMatch} from '@parsleywood/forwarding';
import {CrashStatus} from '@parsleywood/requests';
import type {SuspectSubject} from '../upstreams/suspect_subject.js';
import type {GatewayContext} from './gateway_context.js';
import type {ReceivedRequest} from './received_request.js';
import type {SessionLog} from './session_log.js';
import type {AttemptPlacer} from './attempt_placer.js';

/** Detects whether a request crashes the engines that execute it. */
export class CrashDetector {
  constructor(
    private readonly context: GatewayContext,
    private readonly match: RouteMatch,
    private readonly request: ReceivedRequest,
    private readonly placer: AttemptPlacer,
    private readonly log: SessionLog,
  ) {}

  /** Whether the request has crashed two engines at any host. */
  shouldRefuse(): boolean {
    return this.getCrashStatus() === CrashStatus.BLOCKED;
  }

  /** Treats an engine that accepts no connections after a break as crashed. */
  async checkCrash(): Promise<void> {
    const unreachable = await this.placer.findUnreachable();
    if (unreachable.length === 0) return;
    const isSecond = this.getCrashStatus() === CrashStatus.SUSPECT;
    this.context.suspects.recordCrash(this.describeSubject(), isSecond);
    this.log.logCrash(unreachable.map(({id}) => id).join(' '), isSecond);
  }

  /** Clears the suspicion after a complete response. */
  recordSuccess(): void {
    if (this.getCrashStatus() !== CrashStatus.SUSPECT) return;
    this.context.suspects.recordSuccess(this.describeSubject());
  }

  private getCrashStatus(): CrashStatus {
    return this.context.suspects.findStatus(this.describeSubject());
  }

  private describeSubject(): SuspectSubject {
    const {method, target} = this.request.metadata;
    // An account has several keys, which are replaced from time to time.
    const account = this.match.account?.name ?? '';
    return {
      name: `${method} ${target} ${account}`,
      body: this.request.body,
    };
  }
}
