import type {PeerHeartbeat} from './peer_heartbeat.js';
import {PeerStage} from './peer_stage.js';
import type {RelayChoice} from './relay_choice.js';

/**
 * Largest site in which all hosts send to each other directly. The number of
 * messages grows with the square of the number of hosts: 16 hosts together send
 * about 800 heartbeats a second.
 */
const MAX_DIRECT_HOSTS = 16;
/**
 * Relays per square root of the number of hosts, spread evenly over the failure
 * domains: 4 for 64 hosts.
 */
const RELAYS_PER_SQRT_HOSTS = 0.5;

type Candidate = Pick<
  PeerHeartbeat,
  'peersAddress' | 'failureDomain' | 'processorShare' | 'stage'
>;

/**
 * Chooses the hosts of a large site that relay messages to the others. Hosts
 * need not agree on the choice: each subscribes to one relay, and sends its own
 * messages to all hosts that it would choose as relays and to all that announce
 * themselves as relays. Designed for 17 to 300 hosts of different sizes, with
 * relays that die and failure domains that are lost.
 */
export class RelayChooser {
  private subscribedRelay: string | undefined;

  /** @param drawFraction Returns a random number from 0 to below 1. */
  constructor(private readonly drawFraction: () => number) {}

  /**
   * @param others The other hosts that are alive.
   * @param isSilent Whether a host that counts as alive has sent nothing where it
   *     should have. It is not subscribed to.
   * @return Undefined if the site is small enough for direct messages.
   */
  choose(
    self: Candidate,
    others: readonly PeerHeartbeat[],
    isSilent: (peersAddress: string) => boolean = () => false,
  ): RelayChoice | undefined {
    const hostCount = others.length + 1;
    if (hostCount <= MAX_DIRECT_HOSTS) {
      this.subscribedRelay = undefined;
      return undefined;
    }
    const chosen = chooseRelays([self, ...others], hostCount);
    const isRelay = chosen.some(
      ({peersAddress}) => peersAddress === self.peersAddress,
    );
    const otherRelays = chosen.filter(
      ({peersAddress}) => peersAddress !== self.peersAddress,
    );
    const relays = new Set(otherRelays.map(({peersAddress}) => peersAddress));
    for (const {peersAddress, relays: isRelaying} of others) {
      if (isRelaying) relays.add(peersAddress);
    }
    this.subscribedRelay = isRelay
      ? undefined
      : this.pickSubscribedRelay(
          self,
          otherRelays.filter(({peersAddress}) => !isSilent(peersAddress)),
        );
    return {
      relays: [...relays],
      ...(this.subscribedRelay !== undefined && {
        subscribedRelay: this.subscribedRelay,
      }),
    };
  }

  /**
   * Keeps the current subscribed relay while it is a relay; prefers the own
   * domain.
   */
  private pickSubscribedRelay(
    {failureDomain}: Candidate,
    relays: readonly Candidate[],
  ): string | undefined {
    const {subscribedRelay} = this;
    if (relays.some(({peersAddress}) => peersAddress === subscribedRelay)) {
      return subscribedRelay;
    }
    const sameDomain = relays.filter(
      relay => relay.failureDomain === failureDomain,
    );
    const pool = sameDomain.length > 0 ? sameDomain : relays;
    return pool[Math.floor(this.drawFraction() * pool.length)]?.peersAddress;
  }
}

/** Chooses equally many hosts per failure domain, by largest CPU share. */
function chooseRelays(
  hosts: readonly Candidate[],
  hostCount: number,
): readonly Candidate[] {
  const byDomain = new Map<string, Candidate[]>();
  const remaining = hosts.filter(({stage}) => stage !== PeerStage.STOPPING);
  for (const host of remaining.sort(compareProcessorShare)) {
    const domain = byDomain.get(host.failureDomain) ?? [];
    domain.push(host);
    byDomain.set(host.failureDomain, domain);
  }
  const domains = [...byDomain.keys()].sort();
  const relayCount = Math.max(
    domains.length,
    Math.ceil(Math.sqrt(hostCount) * RELAYS_PER_SQRT_HOSTS),
  );
  const perDomain = Math.ceil(relayCount / Math.max(1, domains.length));
  return domains.flatMap(name => byDomain.get(name)?.slice(0, perDomain) ?? []);
}

function compareProcessorShare(left: Candidate, right: Candidate): number {
  const difference = right.processorShare - left.processorShare;
  if (difference !== 0) return difference;
  return left.peersAddress < right.peersAddress ? -1 : 1;
}
