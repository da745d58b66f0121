import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatStatus} from '../format_status.js';

/** Builds `status`, which summarizes the site and the load of its hosts. */
export function buildStatusCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions> {
  return {
    command: 'status',
    describe: 'Show the state of the site',
    builder: yargs =>
      yargs.example('$0 status --host 10.0.0.1:8081', 'state of the site'),
    handler: async ({host, json}) => {
      const status = await context.createClient(host).readStatus();
      context.printResult(status, json, formatStatus);
    },
  };
}
