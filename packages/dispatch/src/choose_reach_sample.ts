import type {UpstreamEntry} from '@parsleywood/forwarding';

/**
 * Chooses upstreams of different failure domains and services, those in good health
 * first, by which a host tests whether it reaches any. Load pattern: one failure
 * domain or one service is down while the rest is sound.
 *
 * @param isAvoided Whether an upstream failed of late.
 * @param draw Returns a random number in [0, 1).
 */
export function chooseReachSample(
  upstreams: readonly UpstreamEntry[],
  isAvoided: (upstream: UpstreamEntry) => boolean,
  count: number,
  draw: () => number,
): UpstreamEntry[] {
  const ranked = upstreams
    .map(upstream => ({
      upstream,
      rank: draw() + (isAvoided(upstream) ? 1 : 0),
    }))
    .sort((a, b) => a.rank - b.rank)
    .map(({upstream}) => upstream);
  const groups = new Set<string>();
  const isNewGroup = ({failureDomain, service}: UpstreamEntry): boolean => {
    const group = `${failureDomain} ${service}`;
    const isNew = !groups.has(group);
    groups.add(group);
    return isNew;
  };
  const firsts = new Set(ranked.filter(isNewGroup));
  const others = ranked.filter(one => !firsts.has(one));
  return [...firsts, ...others].slice(0, count);
}
