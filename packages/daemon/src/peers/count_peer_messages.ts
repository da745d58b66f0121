import {PeerMessage} from '@parsleywood/schema/peer';
import type {HostMetrics} from '../host/host_metrics.js';
import type {TrafficDirection} from '../host/traffic_direction.js';

/** Adds messages and their encoded sizes to the metrics, by kind and direction. */
export function countPeerMessages(
  metrics: HostMetrics,
  direction: TrafficDirection,
  messages: readonly PeerMessage[],
): void {
  for (const message of messages) {
    const labels = {direction, kind: message.body?.$case ?? 'unknown'};
    const bytes = PeerMessage.encode(message).finish().length;
    metrics.peerMessages.inc(labels);
    metrics.peerMessageBytes.inc(labels, bytes);
  }
}
