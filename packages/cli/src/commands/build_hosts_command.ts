import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatHosts} from '../format_hosts.js';

/** Builds the command that shows the hosts of a site. */
export function buildHostsCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions> {
  return {
    command: 'hosts',
    describe: 'Show the hosts and how they see each other',
    builder: yargs =>
      yargs.example('$0 hosts --json', 'hosts as JSON, for scripts'),
    handler: async ({host, json}) => {
      const status = await context.connect(host).readStatus();
      context.show(status, json, formatHosts);
    },
  };
}
