import type {CallSettings, ServiceSettings} from '@parsleywood/schema/settings';

const SUBTREE_SUFFIX = '/*';

/** Finds the settings of a call; the longest matching path has precedence. */
export function findCallSettings(
  service: ServiceSettings,
  method: string,
  path: string,
): CallSettings | undefined {
  return service.calls
    .filter(call => call.method === method && matchesPath(call.path, path))
    .sort((a, b) => b.path.length - a.path.length)[0];
}

function matchesPath(pattern: string, path: string): boolean {
  if (!pattern.endsWith(SUBTREE_SUFFIX)) return pattern === path;
  return path.startsWith(pattern.slice(0, -1));
}
