import {FairAdmission} from '@parsleywood/admission';
import type {Incarnation} from '@parsleywood/types';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {AdmissionDesk} from './admission_desk.js';
import type {Clock} from '../host/clock.js';
import {drawSeed} from '../host/draw_seed.js';
import type {EngineTraffic} from '../upstreams/engine_traffic.js';
import type {HostNaming} from '../host/host_naming.js';
import type {PeerTransport} from '../peers/peer_transport.js';

/** Stands in until the first settings; no request is taken before. */
const UNSET_CLASS = {
  name: 'unset',
  upToTokens: 1,
  timeLimitMs: 1,
  firstTokenTargetMs: 1,
};
/** Makes the admission of a host, told of its peers and its lanes. */
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
    settings: {accounts: {}, lengthClasses: [UNSET_CLASS]},
    random: xoroshiro128plus(drawSeed()),
  });
  return new AdmissionDesk(admission, clock, (host, message) => {
    transport.send(host, {body: {$case: 'limit', value: message}});
  });
}
