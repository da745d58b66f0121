import {FairAdmission} from '@parsleywood/admission';
import type {Incarnation} from '@parsleywood/types';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {AdmissionDesk} from './admission_desk.js';
import type {Clock} from '../host/clock.js';
import {drawSeed} from '../host/draw_seed.js';
import type {EngineTraffic} from '../upstreams/engine_traffic.js';
import type {HostNaming} from '../host/host_naming.js';
import type {PeerTransport} from '../peers/peer_transport.js';

/** Placeholder until the first settings; no request is accepted before them. */
const PLACEHOLDER_LENGTH_CLASS = {
  name: 'unset',
  upToTokens: 1,
  timeLimitMs: 1,
  firstTokenTargetMs: 1,
};

/**
 * Creates the admission component of a host. It exchanges limit messages over
 * the transport and reads the demand of its lanes from the engine traffic.
 */
export function makeAdmission(
  self: Incarnation,
  clock: Clock,
  traffic: EngineTraffic,
  naming: HostNaming,
  transport: PeerTransport,
): AdmissionDesk {
  const admission = new FairAdmission({
    self,
    listHosts: account => naming.nameFor(account).map(({name}) => name),
    getLaneDemand: () => traffic.demand(),
    settings: {accounts: {}, lengthClasses: [PLACEHOLDER_LENGTH_CLASS]},
    random: xoroshiro128plus(drawSeed()),
  });
  return new AdmissionDesk(admission, clock, (host, message) => {
    transport.send(host, {body: {$case: 'limit', value: message}});
  });
}
