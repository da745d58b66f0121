import type {BenchOptions} from './bench_options.js';
import type {BenchReport} from './bench_report.js';

/** Measures one promise beside its baseline. */
export type Bench = (options: BenchOptions) => Promise<BenchReport>;
