import type {JoinedCrash} from './joined_crash.js';

/**
 * Counts the requests that it takes to explain crashes if each crash was caused by
 * one request, and some came again. Requests are told apart by their widest scope.
 */
export function countCauses(crashes: readonly JoinedCrash[]): number {
  const left = new Set(crashes);
  let causes = 0;
  while (left.size > 0) {
    const byRequest = new Map<string, JoinedCrash[]>();
    for (const crash of left) {
      const names = crash.reports.map(
        ({scopes, request}) => scopes[0] ?? request,
      );
      for (const name of new Set(names)) {
        byRequest.set(name, [...(byRequest.get(name) ?? []), crash]);
      }
    }
    const [most = []] = [...byRequest.values()].sort(
      (one, other) => other.length - one.length,
    );
    if (most.length === 0) return causes;
    for (const crash of most) left.delete(crash);
    causes++;
  }
  return causes;
}
