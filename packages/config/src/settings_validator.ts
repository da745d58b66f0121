import {SETTINGS_SCHEMA, type Settings} from '@parsleywood/schema/settings';
import {SchemaValidator} from './schema_validator.js';

/** The settings schema, compiled once per process. */
export const SETTINGS_VALIDATOR = new SchemaValidator<Settings>(
  SETTINGS_SCHEMA,
);
