import {randomBytes} from 'node:crypto';
import type {Incarnation} from '@parsleywood/types';

/** Names a run of a host's process that starts now. */
export function nameIncarnation(host: string, wallMs: number): Incarnation {
  return {host, id: `${wallMs}-${randomBytes(3).toString('hex')}`};
}
