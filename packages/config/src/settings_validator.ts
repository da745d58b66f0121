import {SETTINGS_SCHEMA, type Settings} from '@parsleywood/schema/settings';
import {SchemaCheck} from './schema_check.js';

/** The schema of settings, compiled. */
export const SETTINGS_VALIDATOR = new SchemaCheck<Settings>(SETTINGS_SCHEMA);
