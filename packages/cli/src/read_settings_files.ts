import {CommandFailure} from './command_failure.js';
import {ExitCode} from './exit_code.js';
import type {ConfigModule} from './config_module.js';

/** Reads the base file and the overlay file; no overlay path gives `{}`. */
export function readSettingsFiles(
  config: ConfigModule,
  base: string,
  overlay: string | undefined,
): {base: unknown; overlay: unknown} {
  return {
    base: readFileOrThrow(config, base),
    overlay: overlay === undefined ? {} : readFileOrThrow(config, overlay),
  };
}

function readFileOrThrow(config: ConfigModule, path: string): unknown {
  const result = config.readSettingsFile(path);
  if (result.isOk) return result.value;
  throw new CommandFailure(ExitCode.USAGE_ERROR, result.error.message);
}
