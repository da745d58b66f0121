import {randomBytes} from 'node:crypto';
import type {Incarnation} from '@parsleywood/types';

/** Creates the identity of a host process that starts now; unique for each run. */
export function nameIncarnation(host: string, wallMs: number): Incarnation {
  return {host, id: `${wallMs}-${randomBytes(3).toString('hex')}`};
}
