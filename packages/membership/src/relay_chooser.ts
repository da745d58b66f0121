import type {PeerBeat} from './peer_beat.js';
import {PeerStage} from './peer_stage.js';
import type {RelayChoice} from './relay_choice.js';

/**
 * Hosts that tell each other everything directly: with more, messages would grow
 * with the square of the hosts. 16 hosts send some 800 beats a second together.
 */
const MOST_DIRECT_HOSTS = 16;
/** Relays for each root of the number of hosts, as many in each domain: 4 of 64. */
const RELAYS_PER_ROOT = 0.5;

type Candidate = Pick<
  PeerBeat,
  'peersAddress' | 'failureDomain' | 'processorShare' | 'stage'
>;

/**
 * Chooses the hosts of a large site that pass on news to the others. Nobody has to
 * agree: a host subscribes at one relay, tells its news to all that it takes for
 * relays, and to those that say that they are. Load pattern: 17 to 300 hosts
 * of unlike size, relays that die, whole domains that are lost.
 */
export class RelayChooser {
  private source: string | undefined;

  /** @param draw Draws a number between 0 and 1. */
  constructor(private readonly draw: () => number) {}

  /**
   * @param others The other hosts that are alive.
   * @return Undefined where each host tells all others directly.
   */
  choose(
    self: Candidate,
    others: readonly PeerBeat[],
  ): RelayChoice | undefined {
    const count = others.length + 1;
    if (count <= MOST_DIRECT_HOSTS) {
      this.source = undefined;
      return undefined;
    }
    const chosen = pickRelays([self, ...others], count);
    const isRelay = chosen.some(
      ({peersAddress}) => peersAddress === self.peersAddress,
    );
    const foreign = chosen.filter(
      ({peersAddress}) => peersAddress !== self.peersAddress,
    );
    const relays = new Set(foreign.map(({peersAddress}) => peersAddress));
    for (const {peersAddress, relays: saysSo} of others) {
      if (saysSo) relays.add(peersAddress);
    }
    this.source = isRelay ? undefined : this.pickSource(self, foreign);
    return {
      relays: [...relays],
      ...(this.source !== undefined && {source: this.source}),
    };
  }

  /** Stays with a source that is still a relay; prefers its own domain. */
  private pickSource(
    {failureDomain}: Candidate,
    relays: readonly Candidate[],
  ): string | undefined {
    const {source} = this;
    if (relays.some(({peersAddress}) => peersAddress === source)) return source;
    const near = relays.filter(one => one.failureDomain === failureDomain);
    const from = near.length > 0 ? near : relays;
    return from[Math.floor(this.draw() * from.length)]?.peersAddress;
  }
}

/** The strongest hosts, by turns from each failure domain. */
function pickRelays(
  hosts: readonly Candidate[],
  count: number,
): readonly Candidate[] {
  const byDomain = new Map<string, Candidate[]>();
  const lasting = hosts.filter(({stage}) => stage !== PeerStage.STOPPING);
  for (const host of lasting.sort(compareStrength)) {
    const domain = byDomain.get(host.failureDomain) ?? [];
    domain.push(host);
    byDomain.set(host.failureDomain, domain);
  }
  const domains = [...byDomain.keys()].sort();
  const wanted = Math.max(
    domains.length,
    Math.ceil(Math.sqrt(count) * RELAYS_PER_ROOT),
  );
  const perDomain = Math.ceil(wanted / Math.max(1, domains.length));
  return domains.flatMap(name => byDomain.get(name)?.slice(0, perDomain) ?? []);
}

function compareStrength(left: Candidate, right: Candidate): number {
  const difference = right.processorShare - left.processorShare;
  if (difference !== 0) return difference;
  return left.peersAddress < right.peersAddress ? -1 : 1;
}
