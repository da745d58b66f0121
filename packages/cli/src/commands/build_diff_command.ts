import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import {CommandFailure} from '../command_failure.js';
import type {CommandOptions} from '../command_options.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../format_table.js';
import {formatValue} from '../format_value.js';
import {readSettingsFiles} from '../read_settings_files.js';
import type {SettingsFiles} from '../settings_files.js';
import type {ConfigModule} from '../config_module.js';

interface DiffOptions extends CommandOptions, SettingsFiles {
  withBase?: string;
  withOverlay?: string;
}

/**
 * Builds `config diff`, which compares settings files with the settings that a
 * host currently uses or with other files.
 */
export function buildDiffCommand(
  context: CommandContext,
): CommandModule<CommandOptions, DiffOptions> {
  return {
    command: 'diff <base> [overlay]',
    describe: 'Compare the settings in force, or other files, with files',
    builder: yargs =>
      yargs
        .positional('base', {type: 'string', demandOption: true})
        .positional('overlay', {type: 'string'})
        .option('with-base', {
          type: 'string',
          requiresArg: true,
          describe: 'Base to compare with, in place of the settings in force',
        })
        .option('with-overlay', {
          type: 'string',
          requiresArg: true,
          implies: 'with-base',
          describe: 'Overlay of that base',
        })
        .example('$0 config diff base.json site.json', 'what would change'),
    handler: async options => {
      const config = await context.dependencies.loadConfigModule();
      const {base, overlay, json} = options;
      const after = loadFiles(config, base, overlay);
      const before = await readSettingsBefore(context, config, options);
      const changes = config.compareSettings(before, after);
      context.printResult({changes}, json, formatChanges);
    },
  };
}

async function readSettingsBefore(
  context: CommandContext,
  config: ConfigModule,
  options: DiffOptions,
): Promise<unknown> {
  const {withBase, withOverlay, host} = options;
  if (withBase !== undefined) return loadFiles(config, withBase, withOverlay);
  return (await context.createClient(host).readConfiguration()).settings;
}

/**
 * Reads, merges and validates settings files. Validation fills in the defaults,
 * so a default on one side of the comparison does not show up as a difference.
 */
function loadFiles(
  config: ConfigModule,
  base: string,
  overlay: string | undefined,
): unknown {
  const files = readSettingsFiles(config, base, overlay);
  const merged = config.mergeSettings(files.base, files.overlay);
  const checked = config.checkSettings(merged);
  if (checked.isOk) return checked.value;
  const count = checked.error.length;
  throw new CommandFailure(
    ExitCode.USAGE_ERROR,
    `${base}: ${count} invalid values; config check ${base} lists them`,
  );
}

function formatChanges({
  changes,
}: {
  changes: readonly {path: string; before: unknown; after: unknown}[];
}): string {
  if (changes.length === 0) return 'no difference';
  const rows = changes.map(({path, before, after}) => [
    path,
    formatValue(before),
    formatValue(after),
  ]);
  return formatTable(['PATH', 'BEFORE', 'AFTER'], rows);
}
