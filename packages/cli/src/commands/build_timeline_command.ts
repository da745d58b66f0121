import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatTimeline} from '../format_timeline.js';

const DEFAULT_LIMIT = 200;

interface TimelineOptions extends CommandOptions {
  request?: string;
  after?: number;
  limit: number;
}

/** Builds `timeline`, which lists events of all hosts in causal order. */
export function buildTimelineCommand(
  context: CommandContext,
): CommandModule<CommandOptions, TimelineOptions> {
  return {
    command: 'timeline',
    describe: 'Show events of all hosts in one causal order',
    builder: yargs =>
      yargs
        .option('request', {
          type: 'string',
          requiresArg: true,
          describe: 'Only events of this request',
        })
        .option('after', {
          type: 'number',
          requiresArg: true,
          describe: 'Only events after this time, in ms since the epoch',
        })
        .option('limit', {
          type: 'number',
          requiresArg: true,
          default: DEFAULT_LIMIT,
          describe: 'Most events to show',
        })
        .check(({after, limit}) => {
          if (after !== undefined && !(after >= 0)) {
            throw new Error('after is not a time in ms, allowed is 0 or more');
          }
          if (Number.isInteger(limit) && limit > 0) return true;
          throw new Error(`limit is ${limit}, allowed is 1 or more`);
        })
        .example('$0 timeline --request 01JE', "one request's life"),
    handler: async ({host, json, request, after, limit}) => {
      const client = context.createClient(host);
      const query = {request, afterMs: after, limit};
      const page = await client.readTimeline(query);
      context.printResult(page, json, ({events}) => formatTimeline(events));
    },
  };
}
