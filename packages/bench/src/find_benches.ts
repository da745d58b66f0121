import {readdir} from 'node:fs/promises';
import type {Bench} from './bench.js';

const MODULE = /^measure_([a-z]+)\.js$/;

/** Finds the benches: each module measure_NAME exports one, measureName. */
export async function findBenches(): Promise<Map<string, Bench>> {
  const benches = new Map<string, Bench>();
  for (const file of (await readdir(import.meta.dirname)).sort()) {
    const [, name] = MODULE.exec(file) ?? [];
    if (!name) continue;
    const module = (await import(`./${file}`)) as Record<string, Bench>;
    const [first = ''] = name;
    const bench = module[`measure${first.toUpperCase()}${name.slice(1)}`];
    if (bench) benches.set(name, bench);
  }
  return benches;
}
