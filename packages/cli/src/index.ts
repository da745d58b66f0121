/** Command-line tool for operators: site status, drain, timeline, settings. */
export {ExitCode} from './exit_code.js';
export type {HostStatus} from '@parsleywood/schema/host_status';
export {loadConfigModule} from './load_config_module.js';
export {runCommand} from './run_command.js';
export type {ConfigModule} from './config_module.js';
export type {SiteStatus} from './site_status.js';
export type {CliDependencies} from './cli_dependencies.js';
