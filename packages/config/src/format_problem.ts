import {maskSecrets} from './mask_secrets.js';
import type {SettingsProblem} from './settings_problem.js';

const MAX_VALUE_CHARACTERS = 60;

/**
 * Formats a problem as one line: path, value (secrets masked), what is allowed.
 */
export function formatProblem(problem: SettingsProblem): string {
  const path = problem.path === '' ? 'the document' : problem.path;
  const value = formatValue(maskSecrets(problem.path, problem.value));
  return `${path} is ${value}, allowed is ${problem.allowed}`;
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'missing';
  const text = JSON.stringify(value);
  if (text.length <= MAX_VALUE_CHARACTERS) return text;
  return `${text.slice(0, MAX_VALUE_CHARACTERS)}…`;
}
