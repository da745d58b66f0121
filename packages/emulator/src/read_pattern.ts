import {
  formatProblem,
  readSettingsFile,
  SchemaValidator,
} from '@parsleywood/config';
import {
  LOAD_PATTERN_SCHEMA,
  type LoadPattern,
} from '@parsleywood/schema/load_pattern';

/**
 * Reads a pattern.
 *
 * @throws Error that names file, field, value and what is allowed.
 */
export function readPattern(path: string): LoadPattern {
  const content = readSettingsFile(path).unwrapOrElse(failure => {
    throw failure;
  });
  const check = new SchemaValidator<LoadPattern>(LOAD_PATTERN_SCHEMA);
  return check.validate(content).unwrapOrElse(([first]) => {
    throw new Error(`${path}: ${first ? formatProblem(first) : 'wrong'}`);
  });
}
