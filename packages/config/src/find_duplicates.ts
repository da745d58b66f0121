import type {SettingsProblem} from './settings_problem.js';

/** Finds the values that already occurred at an earlier path. */
export function findDuplicates(
  values: readonly {readonly path: string; readonly value: string}[],
  allowed: string,
): SettingsProblem[] {
  const seen = new Set<string>();
  return values.flatMap(({path, value}) => {
    if (seen.has(value)) return [{path, value, allowed}];
    seen.add(value);
    return [];
  });
}
