import type {AttemptSender} from './attempt_sender.js';
import type {InactivityTimer} from './inactivity_timer.js';
import type {ResponseWriter} from '../callers/response_writer.js';

/** Holds a stream up at its upstream while the caller reads too slowly. */
export class StreamFlow {
  constructor(
    private readonly writer: ResponseWriter,
    private readonly sender: AttemptSender,
    private readonly inactivityTimer: InactivityTimer,
  ) {
    writer.listenForDrain(() => {
      this.handleDrain();
    });
  }

  write(events: Buffer): void {
    this.writer.write(events);
    if (!this.writer.isFull) return;
    this.inactivityTimer.stop();
    this.sender.current?.hold();
  }

  private handleDrain(): void {
    const {current} = this.sender;
    if (!current?.isHeld) return;
    current.release();
    this.inactivityTimer.awaitEvent();
  }
}
