#!/usr/bin/env node
/** parsleywoodd: command-line entry point of one entry host. */
import {readFileSync} from 'node:fs';
import {readStartSettings} from '@parsleywood/config';
import {
  START_SETTINGS_SCHEMA,
  type StartSettings,
} from '@parsleywood/schema/start_settings';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {HostProcess} from './host_process.js';

const EXIT_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;
const SETTING_NAMES = new Set(Object.keys(START_SETTINGS_SCHEMA.properties));

const flags = await yargs(hideBin(process.argv))
  .scriptName('parsleywoodd')
  .usage('$0 [--settings FILE] [--NAME VALUE ...]')
  .options({
    settings: {type: 'string', describe: 'File of start settings (JSON)'},
    host: {type: 'string', describe: 'Name of this host'},
    site: {type: 'string', describe: 'Name of its site'},
    region: {type: 'string', describe: 'Region of its site'},
    failureDomain: {type: 'string', describe: 'Failure domain of this host'},
    callersAddress: {type: 'string', describe: 'IP:port for callers'},
    operatorsAddress: {type: 'string', describe: 'IP:port for operators'},
    peersAddress: {type: 'string', describe: 'IP:port for other hosts'},
    platformUrl: {type: 'string', describe: 'Configuration service'},
    peerKeyFile: {type: 'string', describe: 'File of the key of the hosts'},
    logLevel: {type: 'string', describe: 'trace, debug, info, warn or error'},
  })
  .example('$0 --settings host.json --logLevel debug', 'Starts a host')
  .strict()
  .fail(message => endWith(EXIT_INVALID_SETTINGS, message))
  .parse();

const settings = readSettings();
const host = new HostProcess(
  settings,
  readPeerKey(settings.peerKeyFile),
  code => process.exit(code),
);
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
try {
  await host.start();
} catch (error) {
  endWith(EXIT_FAILED, `cannot start the host: ${(error as Error).message}`);
}

function readSettings(): StartSettings {
  const given = Object.entries(flags).filter(([name]) =>
    SETTING_NAMES.has(name),
  );
  const result = readStartSettings(flags.settings, Object.fromEntries(given));
  if (result.isOk) return result.value;
  return endWith(EXIT_INVALID_SETTINGS, result.error.message);
}

function readPeerKey(file: string): string {
  try {
    const key = readFileSync(file, 'utf8').trim();
    if (key !== '') return key;
    return endWith(EXIT_INVALID_SETTINGS, `${file}: the peer key is empty`);
  } catch (error) {
    const reason = (error as Error).message;
    return endWith(EXIT_INVALID_SETTINGS, `${file}: ${reason}`);
  }
}

function stop(): void {
  host.stop().then(
    () => process.exit(0),
    () => process.exit(EXIT_FAILED),
  );
}

function endWith(code: number, line: string): never {
  process.stderr.write(`parsleywoodd: ${line}\n`);
  process.exit(code);
}
