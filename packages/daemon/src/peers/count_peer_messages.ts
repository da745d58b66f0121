import {PeerMessage} from '@parsleywood/schema/peer';
import type {HostMetrics} from '../host/host_metrics.js';
import type {TrafficDirection} from '../host/traffic_direction.js';

/** Sizes of contents that are sent to several peers, by the content. */
const encodedSizes = new WeakMap<object, number>();

/** Adds messages and their encoded sizes to the metrics, by kind and direction. */
export function countPeerMessages(
  metrics: HostMetrics,
  direction: TrafficDirection,
  messages: readonly PeerMessage[],
): void {
  for (const message of messages) {
    const labels = {direction, kind: message.body?.$case ?? 'unknown'};
    const bytes = measure(message);
    metrics.peerMessages.inc(labels);
    metrics.peerMessageBytes.inc(labels, bytes);
  }
}

/** Encoded size in bytes. A content that was measured before is not encoded again. */
function measure(message: PeerMessage): number {
  const content = message.body?.value;
  const known = content && encodedSizes.get(content);
  if (known !== undefined) return known;
  const bytes = PeerMessage.encode(message).finish().length;
  if (content) encodedSizes.set(content, bytes);
  return bytes;
}
