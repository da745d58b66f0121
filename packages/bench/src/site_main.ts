/** Runs a local site until it is told to stop. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {LocalSite} from './local_site.js';
import {SITE_DEFAULTS} from './site_defaults.js';
import type {SiteOptions} from './site_options.js';

const options: SiteOptions = await yargs(hideBin(process.argv))
  .scriptName('npm run site --')
  .usage('$0 [options]\n\nRuns a site of separate processes on loopback.')
  .option('hosts', {type: 'number', default: SITE_DEFAULTS.hosts})
  .option('engines', {type: 'number', default: SITE_DEFAULTS.engines})
  .option('services', {type: 'number', default: SITE_DEFAULTS.services})
  .option('engine-speed', {
    type: 'number',
    default: SITE_DEFAULTS.engineSpeed,
    describe: 'Multiplies the rates of the engines',
  })
  .option('memory-tokens', {
    type: 'number',
    default: SITE_DEFAULTS.memoryTokens,
    describe: 'Memory of one engine',
  })
  .option('engine-restart-ms', {
    type: 'number',
    describe: 'Time after which a crashed engine is back',
  })
  .option('logs', {type: 'string', describe: 'Directory for log files'})
  .option('daemon', {type: 'string', describe: 'Another build of the daemon'})
  .strict()
  .parseAsync();

const site = new LocalSite(options);
let stopped = false;
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.on(signal, () => {
    stopped = true;
    void site.stop().then(() => process.exit(0));
  });
}
try {
  const report = await site.start();
  process.stdout.write(`${JSON.stringify(report)}\n`);
} catch (error) {
  if (!stopped) {
    process.stderr.write(`site: ${String(error)}\n`);
    await site.stop();
    process.exit(1);
  }
}
