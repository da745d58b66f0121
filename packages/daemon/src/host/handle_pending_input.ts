import {setImmediate as endPhase} from 'node:timers/promises';

/**
 * Resolves once the input that has arrived is handled. Load pattern: a host short of
 * processor time, where one turn of the event loop hands over a request, and a later
 * one that its caller left long ago.
 */
export async function handlePendingInput(): Promise<void> {
  // The first resolves in the turn that runs now, the second after the next poll.
  await endPhase();
  await endPhase();
}
