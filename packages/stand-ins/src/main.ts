/** Starts one stand-in as a process of its own. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {ENGINE_DEFAULTS} from './engine_defaults.js';
import type {StandIn} from './stand_in.js';
import {startEngine} from './start_engine.js';
import {startPlatform} from './start_platform.js';
import {startService} from './start_service.js';

const PORT = {type: 'number', default: 0} as const;

await yargs(hideBin(process.argv))
  .option('until-input-ends', {
    type: 'boolean',
    default: false,
    describe: 'End when standard input does, and not on SIGINT',
  })
  .command(
    'platform',
    'Starts a platform',
    builder => builder.option('port', PORT),
    async args => announce(await startPlatform(args.port), args),
  )
  .command(
    'engine',
    'Starts a model engine',
    builder =>
      builder
        .option('port', PORT)
        .option('model', {type: 'string', array: true, default: []})
        .option('speed', {type: 'number', default: 1})
        .option('memory-tokens', {
          type: 'number',
          default: ENGINE_DEFAULTS.memoryTokens,
        })
        .option('ignores-fencing', {type: 'boolean', default: false})
        .option('restart-after-ms', {type: 'number'}),
    async args => {
      const {port, speed, memoryTokens, ignoresFencing, restartAfterMs} = args;
      const models = args.model.map(String);
      const options = {memoryTokens};
      const start = {port, models, speed, options, ignoresFencing};
      const crash =
        restartAfterMs === undefined
          ? {onCrash: () => process.exit(1)}
          : {restartAfterMs};
      announce(await startEngine({...start, ...crash}), args);
    },
  )
  .command(
    'service',
    'Starts a plain service',
    builder =>
      builder
        .option('port', PORT)
        .option('order-ms', {type: 'number', default: 2})
        .option('checks-fencing', {type: 'boolean', default: false}),
    async args => announce(await startService(args), args),
  )
  .demandCommand(1)
  .strict()
  .parseAsync();

function announce(
  standIn: StandIn,
  {untilInputEnds}: {untilInputEnds: boolean},
): void {
  const {address} = standIn;
  process.stdout.write(`${JSON.stringify({ready: true, address})}\n`);
  const stop = () => void standIn.close().then(() => process.exit(0));
  process.on('SIGTERM', stop);
  process.on('SIGINT', untilInputEnds ? () => undefined : stop);
  if (untilInputEnds) process.stdin.on('end', stop).resume();
}
