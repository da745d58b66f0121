import {
  START_SETTINGS_SCHEMA,
  type StartSettings,
} from '@parsleywood/schema/start_settings';
import {Result} from 'true-myth/result';
import {findAddressFaults} from './find_invalid_addresses.js';
import {formatProblem} from './format_problem.js';
import {mergeSettings} from './merge_settings.js';
import {readSettingsFile} from './read_settings_file.js';
import {SchemaCheck} from './schema_check.js';
import type {SettingsProblem} from './settings_problem.js';
import type {StartSettingsFault} from './start_settings_error.js';

const CHECK = new SchemaCheck<StartSettings>(START_SETTINGS_SCHEMA);
const ADDRESS_NAMES = ['callersAddress', 'operatorsAddress', 'peersAddress'];

/**
 * Reads what a process is told at its start.
 *
 * @param path The JSON file; undefined where flags say all.
 * @param flags Settings by name that go before those of the file; undefined
 *     ones are passed over.
 */
export function readStartSettings(
  path: string | undefined,
  flags: Readonly<Record<string, unknown>>,
): Result<StartSettings, StartSettingsFault> {
  const given = Object.fromEntries(
    Object.entries(flags).filter(([, value]) => value !== undefined),
  );
  return readFile(path).andThen(file =>
    checkStartSettings(mergeSettings(file, given)).mapErr(problems =>
      toFault(path, given, problems),
    ),
  );
}

function readFile(
  path: string | undefined,
): Result<unknown, StartSettingsFault> {
  if (path === undefined) return Result.ok({});
  return readSettingsFile(path).mapErr(({message}) => ({
    source: path,
    problems: [],
    message,
  }));
}

function checkStartSettings(
  value: unknown,
): Result<StartSettings, SettingsProblem[]> {
  return CHECK.run(value).andThen(settings => {
    const seeds = settings.seedPeers ?? [];
    const faults = findAddressFaults(settings, [
      ...ADDRESS_NAMES.map(name => `/${name}`),
      ...seeds.map((_, index) => `/seedPeers/${index}`),
    ]);
    return faults.length === 0 ? Result.ok(settings) : Result.err(faults);
  });
}

function toFault(
  path: string | undefined,
  flags: Readonly<Record<string, unknown>>,
  problems: readonly SettingsProblem[],
): StartSettingsFault {
  const [first, ...others] = problems;
  const name = first?.path.split('/')[1] ?? '';
  const source =
    path === undefined || Object.hasOwn(flags, name) ? 'flags' : path;
  const line = first ? formatProblem(first) : 'refused';
  const more = others.length > 0 ? ` (and ${others.length} more)` : '';
  return {source, problems, message: `${source}: ${line}${more}`};
}
