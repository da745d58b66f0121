/**
 * Gossip-based failure detection among the hosts of a site, host discovery by
 * heartbeats, and the liveness of upstreams.
 */
export {compareIncarnations} from './compare_incarnations.js';
export type {Member} from './member.js';
export {MemberState} from './member_state.js';
export {Membership} from './membership.js';
export type {MembershipAction} from './membership_action.js';
export {MembershipActionKind} from './membership_action_kind.js';
export type {MembershipEvent} from './membership_event.js';
export {MembershipEventKind} from './membership_event_kind.js';
export type {MembershipOptions} from './membership_options.js';
export type {MembershipSettings} from './membership_settings.js';
export {UpstreamNews} from './upstream_news.js';
export type {UpstreamChange} from './upstream_change.js';
export {UpstreamLiveness} from './upstream_liveness.js';
export {UpstreamState} from './upstream_state.js';
export type {PeerHeartbeat} from './peer_heartbeat.js';
export {DeliveryDelays} from './delivery_delays.js';
export {DigestHistory} from './digest_history.js';
export {RelaySilence} from './relay_silence.js';
export {PeerRoster} from './peer_roster.js';
export type {PeerSighting} from './peer_sighting.js';
export {RelayChooser} from './relay_chooser.js';
export type {RelayChoice} from './relay_choice.js';
export {PeerStage} from './peer_stage.js';
export {ReachState} from './reach_state.js';
export {ReachTracker} from './reach_tracker.js';
export {selectReachingPeers} from './select_reaching_peers.js';
