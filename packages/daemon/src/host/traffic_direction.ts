/** Direction of traffic with other hosts, as a label of metrics. */
export enum TrafficDirection {
  SENT = 'sent',
  RECEIVED = 'received',
}
