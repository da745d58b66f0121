import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {buildCheckCommand} from './build_check_command.js';
import {buildDiffCommand} from './build_diff_command.js';
import {buildShowCommand} from './build_show_command.js';

/** Builds `config`, the parent command of `check`, `show` and `diff`. */
export function buildConfigCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions> {
  return {
    command: 'config',
    describe: 'Check, show or compare settings',
    builder: yargs =>
      yargs
        .command(buildCheckCommand(context))
        .command(buildShowCommand(context))
        .command(buildDiffCommand(context))
        .demandCommand(1, 'config needs check, show or diff')
        .example('$0 config check base.json overlay.json', 'check two files'),
    handler: () => undefined,
  };
}
