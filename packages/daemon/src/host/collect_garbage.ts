import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

let collect: ((options: {type: 'minor' | 'major'}) => void) | undefined;

/**
 * Frees unused memory. Buffers outside the heap are freed with the objects that
 * refer to them, and these are too small for the engine to collect them soon.
 *
 * @param isFull Whether all objects are looked at, or only new ones, in a few ms.
 */
export function collectGarbage(isFull: boolean): void {
  if (collect === undefined) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as NonNullable<typeof collect>;
  }
  collect({type: isFull ? 'major' : 'minor'});
}
