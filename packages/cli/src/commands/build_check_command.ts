import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import {CommandFailure} from '../command_failure.js';
import type {CommandOptions} from '../command_options.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../format_table.js';
import {formatValue} from '../format_value.js';
import {readSettings} from '../read_settings_files.js';
import type {SettingsFiles} from '../settings_files.js';

/** Builds the command that checks a base and its overlay. */
export function buildCheckCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions & SettingsFiles> {
  return {
    command: 'check <base> [overlay]',
    describe: 'Check a base and the overlay of a site',
    builder: yargs =>
      yargs
        .positional('base', {type: 'string', demandOption: true})
        .positional('overlay', {type: 'string'})
        .example('$0 config check base.json site.json', 'before publishing'),
    handler: async ({base, overlay, json}) => {
      const tool = await context.surroundings.loadSettingsTool();
      const files = readSettings(tool, base, overlay);
      const merged = tool.mergeSettings(files.base, files.overlay);
      const problems = tool
        .checkSettings(merged)
        .match({Ok: () => [], Err: found => [...found]});
      context.show({problems}, json, formatProblems);
      if (problems.length === 0) return;
      throw new CommandFailure(ExitCode.WRONG_USE, 'the settings are wrong');
    },
  };
}

function formatProblems({
  problems,
}: {
  problems: readonly {path: string; value: unknown; allowed: string}[];
}): string {
  if (problems.length === 0) return 'the settings are right';
  const rows = problems.map(({path, value, allowed}) => [
    path === '' ? '/' : path,
    formatValue(value),
    allowed,
  ]);
  return formatTable(['PATH', 'VALUE', 'ALLOWED'], rows);
}
