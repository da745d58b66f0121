import {SETTINGS_SCHEMA, type Settings} from '@parsleywood/schema/settings';
import {SchemaCheck} from './schema_validator.js';

/** The settings schema, compiled once per process. */
export const SETTINGS_VALIDATOR = new SchemaCheck<Settings>(SETTINGS_SCHEMA);
