import {Result} from 'true-myth/result';
import {escapePointer} from './escape_pointer.js';
import type {SettingsProblem} from './settings_problem.js';

const MAX_DEPTH = 32;
/** Stands for a value that may be nested too deeply to be written out. */
const OMITTED = '…';
const RESERVED_NAMES: ReadonlySet<string> = new Set([
  '__proto__',
  'constructor',
  'prototype',
  'hasOwnProperty',
]);

/**
 * Parses JSON text; refuses names that are unsafe to merge and deep nesting.
 */
export function parseSettings(text: string): Result<unknown, SettingsProblem> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Result.err({
      path: '',
      value: undefined,
      allowed: `valid JSON (${reason.replaceAll(/\s+/g, ' ')})`,
    });
  }
  const problem = findProblem(value, '', 0);
  return problem ? Result.err(problem) : Result.ok(value);
}

function findProblem(
  value: unknown,
  path: string,
  depth: number,
): SettingsProblem | undefined {
  if (!isNested(value)) return undefined;
  if (depth === MAX_DEPTH) {
    return {
      path,
      value: OMITTED,
      allowed: `at most ${MAX_DEPTH} levels of nesting`,
    };
  }
  for (const [name, child] of Object.entries(value)) {
    const childPath = `${path}/${escapePointer(name)}`;
    if (RESERVED_NAMES.has(name)) {
      return {
        path: childPath,
        value: isNested(child) ? OMITTED : child,
        allowed: 'a different name (this one is reserved)',
      };
    }
    const problem = findProblem(child, childPath, depth + 1);
    if (problem) return problem;
  }
  return undefined;
}

function isNested(value: unknown): value is object {
  return value !== null && typeof value === 'object';
}
