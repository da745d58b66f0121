import {request} from 'undici';

const LINE = /^(\w+)(?:\{(.*)\})? (\S+)$/gm;

/** Reads a host's metrics; sums by name, and by name and direction. */
export async function readCounters(
  operators: string,
): Promise<Map<string, number>> {
  const {body} = await request(`${operators}/metrics`);
  const counters = new Map<string, number>();
  for (const [, name = '', labels = '', value] of (await body.text()).matchAll(
    LINE,
  )) {
    const [, direction] = /direction="(\w+)"/.exec(labels) ?? [];
    const key = direction === undefined ? name : `${name}:${direction}`;
    counters.set(key, (counters.get(key) ?? 0) + Number(value));
  }
  return counters;
}
