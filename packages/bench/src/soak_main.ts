/** Runs a soak test; exit code 1 when a promise was broken. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runSoak} from './run_soak.js';

const args = await yargs(hideBin(process.argv))
  .scriptName('npm run test:soak --')
  .usage('$0 [options]\n\nRuns random faults against a site under load.')
  .option('seed', {type: 'number', default: 1})
  .option('minutes', {type: 'number', default: 2})
  .option('logs', {type: 'string', describe: 'Directory for log files'})
  .strict()
  .parseAsync();

const report = await runSoak(args, args.logs);
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
process.exitCode = report.violations.length === 0 ? 0 : 1;
