import {request} from 'undici';

const METRIC = /^process_resident_memory_bytes (\S+)/m;
const BYTES_PER_MB = 1_000_000;

/** Reads the resident memory of a host from its metrics, in megabytes. */
export async function readResidentMb(operators: string): Promise<number> {
  const {body} = await request(`${operators}/metrics`);
  const [, bytes] = METRIC.exec(await body.text()) ?? [];
  return Number(bytes) / BYTES_PER_MB;
}
