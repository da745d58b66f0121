#!/usr/bin/env node
/** parsleywoodd: the process of one entry host. */
import {readFileSync} from 'node:fs';
import type {StartSettings} from '@parsleywood/schema/start_settings';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {HostProcess} from './host_process.js';

const flags = await yargs(hideBin(process.argv))
  .scriptName('parsleywoodd')
  .option('settings', {
    type: 'string',
    demandOption: true,
    describe: 'File of start settings (JSON)',
  })
  .strict()
  .parse();

const settings = JSON.parse(
  readFileSync(flags.settings, 'utf8'),
) as StartSettings;
const host = new HostProcess(settings);

let stopping = false;
const stop = (): void => {
  if (stopping) return;
  stopping = true;
  host.stop().then(
    () => process.exit(0),
    () => process.exit(1),
  );
};
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
await host.start();
