import type {LoadReport} from './load_report.js';

type Load = Omit<LoadReport, 'sequence' | 'atMs'>;

/** Makes load reports in intervals, so that readers see an older load. */
export class LoadReporter {
  private report: LoadReport;

  /**
   * @param intervalMs Time between two reports, in milliseconds.
   * @param measure Reads the present load.
   */
  constructor(
    private readonly intervalMs: number,
    private readonly measure: () => Load,
  ) {
    this.report = {sequence: 0, atMs: -Infinity, ...measure()};
  }

  /** Makes a report once the interval has passed. */
  renew(nowMs: number): void {
    const {sequence, atMs} = this.report;
    if (nowMs - atMs < this.intervalMs) return;
    this.report = {sequence: sequence + 1, atMs: nowMs, ...this.measure()};
  }

  /** The last report. */
  read(nowMs: number): LoadReport {
    this.renew(nowMs);
    return this.report;
  }
}
