import type {ExitCode} from './exit_code.js';

/** Ends a command with an exit code and a message for standard error. */
export class CommandFailure extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CommandFailure';
  }
}
