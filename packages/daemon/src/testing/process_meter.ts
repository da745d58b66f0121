import {readdirSync, readFileSync, writeFileSync} from 'node:fs';

const KB_PER_MB = 1_024;
/** Resets the peak of resident memory; see proc(5). */
const RESET_PEAK = '5';

/** Reads memory and descriptors of a process of the test (Linux). */
export class ProcessMeter {
  private highestDescriptors = 0;

  constructor(private readonly pid: number) {}

  /** Resident memory, in MB. */
  get memoryMb(): number {
    return this.readStatus('VmRSS');
  }

  /** Highest resident memory since `reset`, in MB. */
  get peakMb(): number {
    return this.readStatus('VmHWM');
  }

  get descriptors(): number {
    const count = readdirSync(`/proc/${this.pid}/fd`).length;
    this.highestDescriptors = Math.max(this.highestDescriptors, count);
    return count;
  }

  /** Most descriptors of all that were read since `reset`. */
  get peakDescriptors(): number {
    return this.highestDescriptors;
  }

  reset(): void {
    writeFileSync(`/proc/${this.pid}/clear_refs`, RESET_PEAK);
    this.highestDescriptors = 0;
  }

  private readStatus(field: string): number {
    const text = readFileSync(`/proc/${this.pid}/status`, 'utf8');
    const found = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(text);
    return Number(found?.[1]) / KB_PER_MB;
  }
}
