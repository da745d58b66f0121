import {Ajv, type ErrorObject, type ValidateFunction} from 'ajv';
import addFormats from 'ajv-formats';
import {Result} from 'true-myth/result';
import {describeAllowed} from './describe_allowed.js';
import {escapePointer} from './escape_pointer.js';
import {readPointer} from './read_pointer.js';
import type {SettingsProblem} from './settings_problem.js';

/** A compiled JSON Schema; checks values and fills in their defaults. */
export class SchemaValidator<T> {
  private readonly ajvValidate: ValidateFunction;

  constructor(schema: object) {
    const ajv = new Ajv({allErrors: true, useDefaults: true, strict: true});
    addFormats.default(ajv);
    this.ajvValidate = ajv.compile(schema);
  }

  /** Fills the defaults into a copy of a JSON value, valid or not. */
  fillDefaults(value: unknown): unknown {
    const copy = structuredClone(value);
    this.ajvValidate(copy);
    return copy;
  }

  /** Checks a copy of a JSON value; the result is the copy with defaults. */
  validate(value: unknown): Result<T, SettingsProblem[]> {
    const copy = structuredClone(value);
    if (this.ajvValidate(copy)) return Result.ok(copy as T);
    const errors = this.ajvValidate.errors ?? [];
    return Result.err(errors.map(error => toProblem(error, copy)));
  }
}

function toProblem(error: ErrorObject, document: unknown): SettingsProblem {
  const path = error.instancePath;
  if (error.keyword === 'required') {
    const missingName = String(error.params['missingProperty']);
    const allowed = 'a value, which is required';
    return {
      path: `${path}/${escapePointer(missingName)}`,
      value: undefined,
      allowed,
    };
  }
  if (error.keyword === 'additionalProperties') {
    const unknownName = String(error.params['additionalProperty']);
    const value = readPointer(document, path);
    const unknownValue =
      value !== null && typeof value === 'object'
        ? Reflect.get(value, unknownName)
        : undefined;
    const allowed = 'nothing (unknown setting)';
    return {
      path: `${path}/${escapePointer(unknownName)}`,
      value: unknownValue,
      allowed,
    };
  }
  return {
    path,
    value: readPointer(document, path),
    allowed: describeAllowed(error),
  };
}
