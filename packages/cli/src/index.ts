/** The operators' command-line tool. */
export {ExitCode} from './exit_code.js';
export type {HostStatus} from '@parsleywood/schema/host_status';
export {loadSettingsTool} from './load_config_module.js';
export {runCommand} from './run_command.js';
export type {SettingsTool} from './config_module.js';
export type {SiteStatus} from './site_status.js';
export type {Surroundings} from './cli_dependencies.js';
