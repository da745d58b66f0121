import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatUpstreams} from '../format_upstreams.js';

/** Builds `upstreams`, which lists upstreams with their state on the hosts. */
export function buildUpstreamsCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions> {
  return {
    command: 'upstreams',
    describe: 'Show the upstreams and how hosts may use them',
    builder: yargs =>
      yargs.example('$0 upstreams', 'states over all hosts, work in flight'),
    handler: async ({host, json}) => {
      const status = await context.createClient(host).readStatus();
      context.printResult(status, json, formatUpstreams);
    },
  };
}
