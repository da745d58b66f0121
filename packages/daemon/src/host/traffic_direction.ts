/** Direction of traffic with other hosts; value of a metric label. */
export enum TrafficDirection {
  SENT = 'sent',
  RECEIVED = 'received',
}
