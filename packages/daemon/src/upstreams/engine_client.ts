import {AttemptFault} from '@parsleywood/requests';
import type {Dispatcher} from 'undici';
import type {AttemptCall} from './attempt_call.js';
import type {AttemptListener} from './attempt_listener.js';
import {AttemptReader} from './attempt_reader.js';
import type {UpstreamPools} from './upstream_pools.js';

const PRIORITY_TIMEOUT_MS = 1_000;

/** Sends attempts to engines and reads their answers. */
export class EngineClient {
  private readonly readers = new Map<string, AttemptReader>();

  constructor(private readonly pools: UpstreamPools) {}

  /** Number of attempts whose response is still open. */
  openAttempts(): number {
    return this.readers.size;
  }

  /**
   * Sends an attempt. The listener is called until its `onEnd` or `onFault`, or
   * until `cancel`; `onFault` may be called before this returns.
   */
  start(call: AttemptCall, listener: AttemptListener): void {
    const reader = new AttemptReader(call.attempt, listener, () =>
      this.readers.delete(call.attempt),
    );
    this.readers.set(call.attempt, reader);
    const options: Dispatcher.DispatchOptions = {
      path: call.path,
      method: 'POST',
      body: call.body,
      headers: {
        'content-type': 'application/json',
        'parsleywood-attempt': call.attempt,
        'parsleywood-owner': call.owner,
        'parsleywood-priority': String(call.priority),
        'parsleywood-resume-from': String(call.resumeFrom),
        'parsleywood-limit-ms': String(Math.ceil(call.limitMs)),
        ...formatReservationHeaders(call),
      },
    };
    try {
      this.pools.get(call.address).dispatch(options, reader);
    } catch (error) {
      this.readers.delete(call.attempt);
      listener.onFault(call.attempt, AttemptFault.UNREACHABLE, String(error));
    }
  }

  /**
   * Sends an engine the new priority of an attempt. Errors are ignored: the
   * attempt then keeps its old priority.
   */
  setPriority(address: string, attempt: string, priority: number): void {
    const pending = this.pools.get(address).request({
      method: 'PATCH',
      path: `/v1/attempts/${encodeURIComponent(attempt)}`,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({priority}),
      signal: AbortSignal.timeout(PRIORITY_TIMEOUT_MS),
    });
    pending.then(
      answer => answer.body.dump(),
      () => undefined,
    );
  }

  /** Closes the connection of an attempt; the engine then cancels it. */
  cancel(attempt: string): void {
    const reader = this.readers.get(attempt);
    this.readers.delete(attempt);
    reader?.abort();
  }
}

function formatReservationHeaders(call: AttemptCall): Record<string, string> {
  if (call.reservation === undefined) return {};
  return {
    'parsleywood-reservation': call.reservation,
    'parsleywood-remote-tokens': String(call.remoteTokens ?? 0),
  };
}
