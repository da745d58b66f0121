import {writeFileSync} from 'node:fs';
import {
  comparePolicies,
  PolicyName,
  readPattern,
  writeReport,
} from '@parsleywood/emulator';
import type {Argv, CommandModule} from 'yargs';
import {formatEmulations} from './format_emulations.js';

interface Options {
  pattern: string;
  policy: string;
  seed: number;
  json: boolean;
  report: string | undefined;
}

const NAMES = Object.values(PolicyName);

/** Compares placement policies under one load pattern. */
export const EMULATE_COMMAND: CommandModule<object, Options> = {
  command: 'emulate <pattern>',
  describe: 'Compares placement policies under a load pattern',
  builder: builder =>
    builder
      .positional('pattern', {
        type: 'string',
        demandOption: true,
        describe: 'File of the load pattern',
      })
      .option('policy', {
        type: 'string',
        default: NAMES.join(','),
        describe: `Policies: ${NAMES.join(', ')}`,
      })
      .option('report', {
        type: 'string',
        describe: 'File for a page with plots',
      }) as Argv<Options>,
  handler: ({pattern, policy, seed, json, report}) => {
    const emulations = comparePolicies(
      readPattern(pattern),
      policy.split(',').map(readName),
      seed,
    );
    if (report !== undefined) writeFileSync(report, writeReport(emulations));
    process.stdout.write(
      json ? `${JSON.stringify(emulations)}\n` : formatEmulations(emulations),
    );
  },
};

function readName(text: string): PolicyName {
  const name = NAMES.find(one => one === text);
  if (name !== undefined) return name;
  throw new Error(`--policy: "${text}" is none of ${NAMES.join(', ')}`);
}
