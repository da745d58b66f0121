import type {CommandModule} from 'yargs';
import type {CommandContext} from '../command_context.js';
import {CommandFailure} from '../command_failure.js';
import type {CommandOptions} from '../command_options.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../format_table.js';
import {formatValue} from '../format_value.js';
import {readSettings} from '../read_settings_files.js';
import type {SettingsFiles} from '../settings_files.js';
import type {SettingsTool} from '../config_module.js';

interface DiffOptions extends CommandOptions, SettingsFiles {
  withBase?: string;
  withOverlay?: string;
}

/** Builds the command that compares settings with those in force. */
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
      const tool = await context.surroundings.loadSettingsTool();
      const {base, overlay, json} = options;
      const after = checkFiles(tool, base, overlay);
      const before = await readBefore(context, tool, options);
      const changes = tool.compareSettings(before, after);
      context.show({changes}, json, formatChanges);
    },
  };
}

async function readBefore(
  context: CommandContext,
  tool: SettingsTool,
  options: DiffOptions,
): Promise<unknown> {
  const {withBase, withOverlay, host} = options;
  if (withBase !== undefined) return checkFiles(tool, withBase, withOverlay);
  return (await context.connect(host).readConfiguration()).settings;
}

/** Merges and checks files, so that both sides have their defaults. */
function checkFiles(
  tool: SettingsTool,
  base: string,
  overlay: string | undefined,
): unknown {
  const files = readSettings(tool, base, overlay);
  const merged = tool.mergeSettings(files.base, files.overlay);
  const checked = tool.checkSettings(merged);
  if (checked.isOk) return checked.value;
  const count = checked.error.length;
  throw new CommandFailure(
    ExitCode.WRONG_USE,
    `${base}: ${count} wrong values; config check ${base} shows them`,
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
