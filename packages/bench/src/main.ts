/** Runs one bench and prints its report. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {EMULATE_COMMAND} from './emulate_command.js';
import {findBenches} from './find_benches.js';
import {formatReport} from './format_report.js';
import {RECORD_COMMAND} from './record_command.js';

/** Options of all commands. */
interface Shared {
  readonly seed: number;
  readonly repeats: number;
  readonly json: boolean;
}

const benches = await findBenches();
await yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .command(
    '$0 <name>',
    'Runs one bench',
    builder =>
      builder.positional('name', {
        type: 'string',
        choices: [...benches.keys()],
        demandOption: true,
      }),
    async args => {
      const bench = benches.get(String(args.name));
      if (!bench) throw new Error(`no bench is named ${String(args.name)}`);
      const {seed, repeats, json} = args as unknown as Shared;
      const report = await bench({seed, repeats});
      process.stdout.write(
        json ? `${JSON.stringify(report)}\n` : formatReport(report),
      );
    },
  )
  .command(EMULATE_COMMAND)
  .command(RECORD_COMMAND)
  .option('json', {
    type: 'boolean',
    default: false,
    describe: 'Print one JSON object',
  })
  .option('seed', {type: 'number', default: 1})
  .option('repeats', {type: 'number', default: 3})
  .strict()
  .parseAsync();
