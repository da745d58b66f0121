import mergePatch from 'json-merge-patch';

/**
 * Merges an overlay into a base by RFC 7396; changes neither. Both are JSON
 * that `parseSettings` accepts.
 */
export function mergeSettings(base: unknown, overlay: unknown): unknown {
  return mergePatch.apply(structuredClone(base), structuredClone(overlay));
}
