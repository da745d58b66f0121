import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

let collect: (() => void) | undefined;

/**
 * Frees unused memory. Buffers outside the heap are freed with the objects that
 * refer to them, and these are too small for the engine to collect them soon.
 */
export function collectGarbage(): void {
  if (collect === undefined) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as () => void;
  }
  collect();
}
