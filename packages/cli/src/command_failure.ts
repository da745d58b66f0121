import type {ExitCode} from './exit_code.js';

/** Why a command ends without its answer. */
export class CommandFailure extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CommandFailure';
  }
}
