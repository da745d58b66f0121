import {
  START_SETTINGS_SCHEMA,
  type StartSettings,
} from '@parsleywood/schema/start_settings';
import {Result} from 'true-myth/result';
import {findInvalidAddresses} from './find_invalid_addresses.js';
import {formatProblem} from './format_problem.js';
import {mergeSettings} from './merge_settings.js';
import {readSettingsFile} from './read_settings_file.js';
import {SchemaValidator} from './schema_validator.js';
import type {SettingsProblem} from './settings_problem.js';
import type {StartSettingsError} from './start_settings_error.js';

const VALIDATOR = new SchemaValidator<StartSettings>(START_SETTINGS_SCHEMA);
const ADDRESS_SETTINGS = ['callersAddress', 'operatorsAddress', 'peersAddress'];

/**
 * Reads the settings that a process starts with.
 *
 * @param path The JSON file; undefined where the flags give all settings.
 * @param flags Settings by name, which override those of the file; undefined
 *     ones are ignored.
 */
export function readStartSettings(
  path: string | undefined,
  flags: Readonly<Record<string, unknown>>,
): Result<StartSettings, StartSettingsError> {
  const givenFlags = Object.fromEntries(
    Object.entries(flags).filter(([, value]) => value !== undefined),
  );
  return readFile(path).andThen(file =>
    checkStartSettings(mergeSettings(file, givenFlags)).mapErr(problems =>
      createError(path, givenFlags, problems),
    ),
  );
}

function readFile(
  path: string | undefined,
): Result<unknown, StartSettingsError> {
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
  return VALIDATOR.validate(value).andThen(settings => {
    const seeds = settings.seedPeers ?? [];
    const problems = findInvalidAddresses(settings, [
      ...ADDRESS_SETTINGS.map(name => `/${name}`),
      ...seeds.map((_, index) => `/seedPeers/${index}`),
    ]);
    return problems.length === 0 ? Result.ok(settings) : Result.err(problems);
  });
}

function createError(
  path: string | undefined,
  flags: Readonly<Record<string, unknown>>,
  problems: readonly SettingsProblem[],
): StartSettingsError {
  const [first, ...others] = problems;
  const name = first?.path.split('/')[1] ?? '';
  const source =
    path === undefined || Object.hasOwn(flags, name) ? 'flags' : path;
  const description = first ? formatProblem(first) : 'invalid settings';
  const suffix = others.length > 0 ? ` (and ${others.length} more)` : '';
  return {source, problems, message: `${source}: ${description}${suffix}`};
}
