import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import {CommandFailure} from '../command_failure.js';
import type {CommandOptions} from '../command_options.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../format_table.js';
import {formatValue} from '../format_value.js';
import {readSettingsFiles} from '../read_settings_files.js';
import type {SettingsFiles} from '../settings_files.js';

/** Builds `config check`, which validates a base merged with its overlay. */
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
      const config = await context.dependencies.loadConfigModule();
      const files = readSettingsFiles(config, base, overlay);
      const merged = config.mergeSettings(files.base, files.overlay);
      const problems = config
        .checkSettings(merged)
        .match({Ok: () => [], Err: found => [...found]});
      context.printResult({problems}, json, formatProblems);
      if (problems.length === 0) return;
      throw new CommandFailure(ExitCode.USAGE_ERROR, 'the settings are wrong');
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
