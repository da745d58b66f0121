import mergePatch from 'json-merge-patch';

/**
 * Applies an overlay to a base as a JSON merge patch (RFC 7396) and changes
 * neither. Both must have passed `parseSettings`.
 */
export function mergeSettings(base: unknown, overlay: unknown): unknown {
  return mergePatch.apply(structuredClone(base), structuredClone(overlay));
}
