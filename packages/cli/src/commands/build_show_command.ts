import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import type {CommandOptions} from '../command_options.js';
import {formatTable} from '../format_table.js';
import {formatValue} from '../format_value.js';
import {readSettingsFiles} from '../read_settings_files.js';
import type {SettingsFiles} from '../settings_files.js';

/** Builds `config show`, which lists merged settings with their sources. */
export function buildShowCommand(
  context: CommandContext,
): CommandModule<CommandOptions, CommandOptions & SettingsFiles> {
  return {
    command: 'show <base> [overlay]',
    describe: 'Show merged settings and where each value comes from',
    builder: yargs =>
      yargs
        .positional('base', {type: 'string', demandOption: true})
        .positional('overlay', {type: 'string'})
        .example('$0 config show base.json site.json', 'the merged view'),
    handler: async ({base, overlay, json}) => {
      const config = await context.dependencies.loadConfigModule();
      const files = readSettingsFiles(config, base, overlay);
      const values = config.explainSettings(files.base, files.overlay);
      context.printResult({values}, json, ({values}) =>
        formatTable(
          ['PATH', 'VALUE', 'SOURCE'],
          values.map(({path, value, source}) => [
            path,
            formatValue(value),
            source,
          ]),
        ),
      );
    },
  };
}
