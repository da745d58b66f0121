/**
 * Reads, merges, checks and compares settings, and replicates the published
 * configuration of a site to its hosts.
 */
export {checkHostList} from './check_host_list.js';
export {checkSettings} from './check_settings.js';
export {checkUpstreamList} from './check_upstream_list.js';
export {compareSettings} from './compare_settings.js';
export type {ConfigurationAction} from './configuration_action.js';
export {ConfigurationActionKind} from './configuration_action_kind.js';
export type {ConfigurationEvent} from './configuration_event.js';
export {ConfigurationEventKind} from './configuration_event_kind.js';
export type {ConfigurationProblem} from './configuration_problem.js';
export {ConfigurationProblemKind} from './configuration_problem_kind.js';
export {ConfigurationReplica} from './configuration_replica.js';
export type {ConfigurationRevision} from './configuration_revision.js';
export {explainSettings} from './explain_settings.js';
export type {ExplainedValue} from './explained_value.js';
export {formatProblem} from './format_problem.js';
export {isAddress} from './is_address.js';
export type {Member} from './member.js';
export {mergeSettings} from './merge_settings.js';
export {parseSettings} from './parse_settings.js';
export {readSettingsFile} from './read_settings_file.js';
export {readStartSettings} from './read_start_settings.js';
export {SchemaValidator} from './schema_validator.js';
export type {SettingsChange} from './settings_change.js';
export type {SettingsProblem} from './settings_problem.js';
export type {StartSettingsError} from './start_settings_error.js';
export {ValueSource} from './value_source.js';
