import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';

/** Builds `drain`, which starts the graceful stop of the named host. */
export function buildDrainCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions & {name: string}> {
  return {
    command: 'drain <name>',
    describe: 'Start the graceful stop of a host',
    builder: yargs =>
      yargs
        .positional('name', {
          type: 'string',
          demandOption: true,
          describe: 'Name of the host to stop, as the hosts command shows it',
        })
        .example('$0 drain entry-2', 'stop entry-2 without cutting requests'),
    handler: async ({host, json, name}) => {
      const receipt = await context.createClient(host).drain(name);
      context.printResult(
        receipt,
        json,
        ({host, state}) => `${host} is ${state}`,
      );
    },
  };
}
