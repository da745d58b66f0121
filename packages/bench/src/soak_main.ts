/** Runs a soak test; exit code 1 when a promise was broken. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runGatewaySoak} from './gateway_soak/run_gateway_soak.js';
import {runSoak} from './run_soak.js';

const SECONDS_PER_MINUTE = 60;

const args = await yargs(hideBin(process.argv))
  .scriptName('npm run test:soak --')
  .usage('$0 [options]\n\nRuns random faults against a site under load.')
  .option('of', {
    choices: ['hosts', 'gateways'] as const,
    default: 'hosts' as const,
    describe: 'Which processes are disturbed',
  })
  .option('gateways', {type: 'number', default: 3})
  .option('seed', {type: 'number', default: 1})
  .option('minutes', {type: 'number', default: 2})
  .option('logs', {type: 'string', describe: 'Directory for log files'})
  .strict()
  .parseAsync();

const {of, seed, minutes, gateways, logs} = args;
const report =
  of === 'gateways'
    ? await runGatewaySoak(seed, minutes * SECONDS_PER_MINUTE, gateways, logs)
    : await runSoak(args, logs);
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
const more =
  'unserved' in report ? [...report.exceptions, ...report.unserved] : [];
process.exitCode = report.violations.length + more.length === 0 ? 0 : 1;
