import {readFileSync, writeFileSync} from 'node:fs';
import {readPattern, recordPattern} from '@parsleywood/emulator';
import type {Argv, CommandModule} from 'yargs';

interface Options {
  template: string;
  logs: string[];
  out: string;
  name: string;
}

/** Makes a load pattern of the logs of gateways. */
export const RECORD_COMMAND: CommandModule<object, Options> = {
  command: 'record <template> <logs..>',
  describe: 'Makes a load pattern of the logs of gateways',
  builder: builder =>
    builder
      .positional('template', {
        type: 'string',
        demandOption: true,
        describe: 'Load pattern with hosts, engines and kinds of the site',
      })
      .positional('logs', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'Log files of all gateways',
      })
      .option('out', {type: 'string', demandOption: true})
      .option('name', {type: 'string', default: 'recorded'}) as Argv<Options>,
  handler: ({template, logs, out, name}) => {
    const lines = logs.flatMap(log => readFileSync(log, 'utf8').split('\n'));
    const pattern = recordPattern(readPattern(template), lines);
    writeFileSync(out, `${JSON.stringify({...pattern, name})}\n`);
    const count = pattern.arrivals?.length ?? 0;
    process.stdout.write(`${out}: ${count} requests\n`);
  },
};
