import {RequestKind, type Route} from '@parsleywood/forwarding';
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
    private readonly route: Route,
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
    if (!this.isIdentifiable()) return;
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
    if (!this.isIdentifiable()) return CrashStatus.CLEAR;
    return this.context.suspects.findStatus(this.describeSubject());
  }

  /** Whether the request can be told from others by its body. */
  private isIdentifiable(): boolean {
    const {kind} = this.route;
    return kind === RequestKind.STREAM && this.request.body.length > 0;
  }

  private describeSubject(): SuspectSubject {
    const {target, accountKey = ''} = this.request.metadata;
    return {model: `${target} ${accountKey}`, body: this.request.body};
  }
}
