import {CommandFailure} from './command_failure.js';
import {ExitCode} from './exit_code.js';
import type {SettingsTool} from './config_module.js';

/** Reads a base and, if one is named, its overlay. */
export function readSettings(
  tool: SettingsTool,
  base: string,
  overlay: string | undefined,
): {base: unknown; overlay: unknown} {
  return {
    base: readOne(tool, base),
    overlay: overlay === undefined ? {} : readOne(tool, overlay),
  };
}

function readOne(tool: SettingsTool, path: string): unknown {
  const read = tool.readSettingsFile(path);
  if (read.isOk) return read.value;
  throw new CommandFailure(ExitCode.WRONG_USE, read.error.message);
}
