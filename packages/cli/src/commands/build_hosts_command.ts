import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatHosts} from '../format_hosts.js';

/** Builds `hosts`, which lists the hosts and how their peers see them. */
export function buildHostsCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions> {
  return {
    command: 'hosts',
    describe: 'Show the hosts and how they see each other',
    builder: yargs =>
      yargs.example('$0 hosts --json', 'hosts as JSON, for scripts'),
    handler: async ({host, json}) => {
      const status = await context.createClient(host).readStatus();
      context.printResult(status, json, formatHosts);
    },
  };
}
