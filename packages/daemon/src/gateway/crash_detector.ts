import {RequestKind, type Route} from '@parsleywood/forwarding';
import {Verdict} from '@parsleywood/requests';
import type {SuspectSubject} from '../upstreams/suspect_subject.js';
import type {GatewayParts} from './gateway_context.js';
import type {ReceivedRequest} from './received_request.js';
import type {SessionLog} from './session_log.js';
import type {UpstreamDesk} from './attempt_placer.js';

/** Judges whether one request crashes the engines that run it. */
export class CrashJudge {
  constructor(
    private readonly parts: GatewayParts,
    private readonly route: Route,
    private readonly request: ReceivedRequest,
    private readonly desk: UpstreamDesk,
    private readonly log: SessionLog,
  ) {}

  /** Whether two engines have crashed under the request, at any host. */
  isCondemned(): boolean {
    return this.judge() === Verdict.CONDEMNED;
  }

  /** An engine that takes no connections after a break has crashed. */
  async noteBreak(): Promise<void> {
    if (!this.isKnownByBody()) return;
    const unreached = await this.desk.findUnreached();
    if (unreached.length === 0) return;
    const isSecond = this.judge() === Verdict.SUSPECT;
    this.parts.suspects.noteCrash(this.subject(), isSecond);
    this.log.crashed(unreached.map(({id}) => id).join(' '), isSecond);
  }

  /** A whole answer clears the request. */
  noteSuccess(): void {
    if (this.judge() !== Verdict.SUSPECT) return;
    this.parts.suspects.noteSuccess(this.subject());
  }

  private judge(): Verdict {
    if (!this.isKnownByBody()) return Verdict.CLEAR;
    return this.parts.suspects.judge(this.subject());
  }

  /** Whether the request can be told from others by its body. */
  private isKnownByBody(): boolean {
    const {kind} = this.route;
    return kind === RequestKind.STREAM && this.request.body.length > 0;
  }

  private subject(): SuspectSubject {
    const {target, key = ''} = this.request.facts;
    return {model: `${target} ${key}`, body: this.request.body};
  }
}
