import {CommandFailure} from './command_failure.js';
import {ExitCode} from './exit_code.js';
import {HostClient} from './host_client.js';
import type {CliDependencies} from './cli_dependencies.js';

const ADDRESS_PATTERN = /^([0-9.]+|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$/;
const HOST_VARIABLE = 'PARSLEYWOOD_HOST';

/** Shared by all commands: builds the host client and prints results. */
export class CommandContext {
  constructor(readonly dependencies: CliDependencies) {}

  /**
   * Builds a client for `host` (the `--host` option) or, without it, for the
   * address in the environment variable. Throws on a missing or malformed one.
   */
  createClient(host: string | undefined): HostClient {
    const address =
      host ?? this.dependencies.environmentVariables[HOST_VARIABLE];
    if (address === undefined) {
      throw new CommandFailure(
        ExitCode.USAGE_ERROR,
        `no host address: pass --host IP:PORT or set ${HOST_VARIABLE}`,
      );
    }
    if (!ADDRESS_PATTERN.test(address)) {
      throw new CommandFailure(
        ExitCode.USAGE_ERROR,
        `host is "${address}", allowed is IP:PORT`,
      );
    }
    return new HostClient(address);
  }

  /** Prints a result as indented JSON, or as text by way of `format`. */
  printResult<T>(
    result: T,
    json: boolean,
    format: (result: T) => string,
  ): void {
    const text = json ? JSON.stringify(result, null, 2) : format(result);
    this.dependencies.writeOutput(text);
  }
}
