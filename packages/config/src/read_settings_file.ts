import {readFileSync} from 'node:fs';
import {ErrorKind, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth/result';
import {formatProblem} from './format_problem.js';
import {parseSettings} from './parse_settings.js';

/**
 * Reads and parses a JSON settings file; the failure is one line with its path.
 */
export function readSettingsFile(path: string): Result<unknown, Failure> {
  return readText(path)
    .andThen(text => parseSettings(text).mapErr(formatProblem))
    .mapErr(
      reason => new Failure(ErrorKind.INVALID_REQUEST, `${path}: ${reason}`),
    );
}

function readText(path: string): Result<string, string> {
  try {
    return Result.ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'unknown error';
    return Result.err(`the file cannot be read (${code})`);
  }
}
