import type {CallSettings, ServiceSettings} from '@parsleywood/schema/settings';

const SUBTREE = '/*';

/** Finds the settings of a service's call; the longest path wins. */
export function findCall(
  service: ServiceSettings,
  method: string,
  path: string,
): CallSettings | undefined {
  return service.calls
    .filter(call => call.method === method && matches(call.path, path))
    .sort((a, b) => b.path.length - a.path.length)[0];
}

function matches(pattern: string, path: string): boolean {
  if (!pattern.endsWith(SUBTREE)) return pattern === path;
  return path.startsWith(pattern.slice(0, -1));
}
