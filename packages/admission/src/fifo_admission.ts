import {ErrorKind} from '@parsleywood/errors';

import type {Admission} from './admission.js';
import type {AdmissionAction} from './admission_action.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import type {AdmissionEvent} from './admission_event.js';
import {AdmissionEventKind} from './admission_event_kind.js';
import type {AdmissionRequest} from './admission_request.js';

const RETRY_AFTER_MS = 1000;

/** Baseline for comparisons: first in, first out, with a fixed concurrency limit. */
export class FifoAdmission implements Admission {
  private readonly queue = new Map<string, AdmissionRequest>();
  private readonly running = new Set<string>();

  /** @param maxRunning Maximum number of concurrent requests; unlimited when absent. */
  constructor(private readonly maxRunning = Infinity) {}

  handle(event: AdmissionEvent, nowMs: number): AdmissionAction[] {
    switch (event.kind) {
      case AdmissionEventKind.REQUESTED:
        this.queue.set(event.id, event);
        break;
      case AdmissionEventKind.FINISHED:
      case AdmissionEventKind.CANCELLED:
        this.queue.delete(event.id);
        this.running.delete(event.id);
        break;
      default:
    }
    return this.dispatch(nowMs);
  }

  wakeAtMs(): number {
    let earliestMs = Infinity;
    for (const {deadlineMs} of this.queue.values()) {
      earliestMs = Math.min(earliestMs, deadlineMs);
    }
    return earliestMs;
  }

  private dispatch(nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = [];
    for (const {id, deadlineMs} of this.queue.values()) {
      if (nowMs >= deadlineMs) {
        this.queue.delete(id);
        actions.push({
          kind: AdmissionActionKind.REFUSE,
          id,
          error: ErrorKind.TIME_LIMIT,
          retryAfterMs: RETRY_AFTER_MS,
        });
      } else if (this.running.size < this.maxRunning) {
        this.queue.delete(id);
        this.running.add(id);
        actions.push({kind: AdmissionActionKind.ADMIT, id});
      }
    }
    return actions;
  }
}
