import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatStatus} from '../format_status.js';

/** Builds the command that shows the state of a whole site. */
export function buildStatusCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions> {
  return {
    command: 'status',
    describe: 'Show the state of the site',
    builder: yargs =>
      yargs.example('$0 status --host 10.0.0.1:8081', 'state of the site'),
    handler: async ({host, json}) => {
      const status = await context.connect(host).readStatus();
      context.show(status, json, formatStatus);
    },
  };
}
