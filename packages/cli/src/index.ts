/** The operators' command-line tool. */
export {ExitCode} from './exit_code.js';
export type {HostStatus} from '@parsleywood/schema/host_status';
export {loadSettingsTool} from './load_settings_tool.js';
export {runCommand} from './run_command.js';
export type {SettingsTool} from './settings_tool.js';
export type {SiteStatus} from './site_status.js';
export type {Surroundings} from './surroundings.js';
