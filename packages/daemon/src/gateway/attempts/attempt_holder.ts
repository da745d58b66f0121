import {setTimeout as pause} from 'node:timers/promises';
import {canConnect} from '../upstreams/can_connect.js';
import type {AttemptPlacer} from './attempt_placer.js';
import type {AttemptSender} from './attempt_sender.js';
import {HeldAttempt} from './held_attempt.js';
import type {ReceivedResponse} from './received_response.js';
import type {ResponseListener} from './response_listener.js';

/** Interval at which the engines of a held attempt are tested. */
const TEST_INTERVAL_MS = 1_000;

/** Sets a silent attempt of one request aside while another one is tried. */
export class AttemptHolder {
  private held: HeldAttempt | undefined;

  /** @param onProgress Called whenever more of the held response has arrived. */
  constructor(
    private readonly placer: AttemptPlacer,
    private readonly sender: AttemptSender,
    private readonly response: ReceivedResponse,
    private readonly onProgress: () => void,
  ) {}

  /** Whether an attempt is held whose response may still come. */
  get isPending(): boolean {
    return this.held?.isPending ?? false;
  }

  /** Whether more of the held response has arrived. */
  get hasProgressed(): boolean {
    return this.held?.hasProgressed ?? false;
  }

  /** Sets the attempt in progress aside, unless it is that of a suspect. */
  hold(): void {
    const {placer, sender, response} = this;
    // Suspects run on one upstream at a time.
    if (placer.currentAttempt?.placement.suspect !== '') return;
    const sent = sender.suspend();
    const placement = placer.suspend();
    if (sent === undefined || placement === undefined) return;
    const held = new HeldAttempt(sent, placement, response.capture(), () => {
      this.handleChange();
    });
    this.held = held;
    if (sent.reservations?.isNeeded === true) void this.watchEngines(held);
  }

  /** Goes on with the held attempt; no other one may be in progress. */
  resume(listener: ResponseListener): void {
    const {held, placer, sender, response} = this;
    if (held === undefined) return;
    this.held = undefined;
    sender.resume(held.sent);
    placer.resume(held.placement);
    response.restore(held.received);
    held.replay(listener, () => sender.current === held.sent.attempt);
  }

  /** Ends the held attempt. */
  discard(): void {
    const {held, placer, sender} = this;
    if (held === undefined) return;
    this.held = undefined;
    sender.discard(held.sent);
    placer.discard(held.placement);
    held.received.buffer.discard();
  }

  /**
   * Ends a held attempt once one of its engines takes no connections: it waits in vain
   * for that one, with memory set aside at the others.
   */
  private async watchEngines(held: HeldAttempt): Promise<void> {
    const {upstream, helpers} = held.placement.placed.choice;
    while (this.held === held) {
      const areReachable = await Promise.all(
        [upstream, ...helpers].map(({address}) => canConnect(address)),
      );
      if (this.held !== held) return;
      if (!areReachable.every(Boolean)) this.discard();
      else await pause(TEST_INTERVAL_MS, undefined, {ref: false});
    }
  }

  private handleChange(): void {
    if (!this.isPending) this.discard();
    else if (this.hasProgressed) this.onProgress();
  }
}
