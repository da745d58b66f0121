import {CommandFailure} from './command_failure.js';
import {ExitCode} from './exit_code.js';
import {HostClient} from './host_client.js';
import type {Surroundings} from './cli_dependencies.js';

const ADDRESS = /^([0-9.]+|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$/;
const HOST_VARIABLE = 'PARSLEYWOOD_HOST';

/** What each command works with. */
export class CommandContext {
  constructor(readonly surroundings: Surroundings) {}

  /** The host to ask, by option or by environment. */
  connect(host: string | undefined): HostClient {
    const address = host ?? this.surroundings.environment[HOST_VARIABLE];
    if (address === undefined) {
      throw new CommandFailure(
        ExitCode.WRONG_USE,
        `no host to ask: give --host IP:PORT or set ${HOST_VARIABLE}`,
      );
    }
    if (!ADDRESS.test(address)) {
      throw new CommandFailure(
        ExitCode.WRONG_USE,
        `host is "${address}", allowed is IP:PORT`,
      );
    }
    return new HostClient(address);
  }

  /** Writes an answer as JSON or as text. */
  show<T>(answer: T, json: boolean, format: (answer: T) => string): void {
    const text = json ? JSON.stringify(answer, null, 2) : format(answer);
    this.surroundings.write(text);
  }
}
