import createYargs, {type Argv} from 'yargs';
import {CommandContext} from './command_context.js';
import {CommandFailure} from './command_failure.js';
import type {CommandOptions} from './command_options.js';
import {buildConfigCommand} from './commands/build_config_command.js';
import {buildDrainCommand} from './commands/build_drain_command.js';
import {buildExplainCommand} from './commands/build_explain_command.js';
import {buildHostsCommand} from './commands/build_hosts_command.js';
import {buildStatusCommand} from './commands/build_status_command.js';
import {buildTimelineCommand} from './commands/build_timeline_command.js';
import {buildUpstreamsCommand} from './commands/build_upstreams_command.js';
import {ExitCode} from './exit_code.js';
import type {CliDependencies} from './cli_dependencies.js';

const PROGRAM_NAME = 'parsleywood';
const HELP_WIDTH = 100;
const EXIT_CODES_HELP =
  'Exit codes: 0 done, 1 a host answered with an error, ' +
  '2 wrong use or settings, 3 the host cannot be reached.';

/** Runs one command line and returns its exit code; prints errors. */
export async function runCommand(
  args: readonly string[],
  dependencies: CliDependencies,
): Promise<ExitCode> {
  const parser = buildParser(new CommandContext(dependencies));
  let output = '';
  try {
    await parser.parseAsync([...args], {}, (_error, _argv, text) => {
      output = text;
    });
    if (output !== '') dependencies.writeOutput(output);
    return ExitCode.OK;
  } catch (error) {
    return reportError(error, dependencies);
  }
}

function reportError(error: unknown, dependencies: CliDependencies): ExitCode {
  const {message} = error as Error;
  dependencies.writeError(`${PROGRAM_NAME}: ${message}`);
  return error instanceof CommandFailure
    ? error.exitCode
    : ExitCode.USAGE_ERROR;
}

function buildParser(context: CommandContext): Argv<CommandOptions> {
  return createYargs()
    .scriptName(PROGRAM_NAME)
    .locale('en')
    .usage('$0 COMMAND [OPTIONS]')
    .option('host', {
      type: 'string',
      requiresArg: true,
      describe: "A host's operators' address, IP:PORT [PARSLEYWOOD_HOST]",
    })
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'Print JSON instead of tables',
    })
    .command(buildStatusCommand(context))
    .command(buildHostsCommand(context))
    .command(buildUpstreamsCommand(context))
    .command(buildDrainCommand(context))
    .command(buildTimelineCommand(context))
    .command(buildExplainCommand(context))
    .command(buildConfigCommand(context))
    .completion('completion', 'Print a completion script for bash or zsh')
    .demandCommand(1, 'no command given; --help lists the commands')
    .strict()
    .recommendCommands()
    .wrap(HELP_WIDTH)
    .version(false)
    .epilogue(EXIT_CODES_HELP)
    .exitProcess(false)
    .showHelpOnFail(false)
    .fail((message, error) => {
      throw error ?? new CommandFailure(ExitCode.USAGE_ERROR, message);
    });
}
