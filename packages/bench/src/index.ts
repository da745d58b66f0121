/** Benches: each measures one promise beside its baseline. */
export type {BenchOptions} from './bench_options.js';
export type {BenchReport} from './bench_report.js';
