import {loadConfigModule} from './load_config_module.js';
import {runCommand} from './run_command.js';

process.exitCode = await runCommand(process.argv.slice(2), {
  environmentVariables: process.env,
  writeOutput: text => process.stdout.write(`${text}\n`),
  writeError: text => process.stderr.write(`${text}\n`),
  loadConfigModule,
});
