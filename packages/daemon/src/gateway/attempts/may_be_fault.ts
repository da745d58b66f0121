import {AttemptOutcome} from '@parsleywood/forwarding';

/** Whether an attempt that got no sound answer ended through its upstream. */
export function mayBeFault(outcome: AttemptOutcome): boolean {
  const {REFUSED, WITHDRAWN} = AttemptOutcome;
  return outcome !== REFUSED && outcome !== WITHDRAWN;
}
