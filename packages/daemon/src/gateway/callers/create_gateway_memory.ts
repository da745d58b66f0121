import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import {HostBounds} from '../../host/host_bounds.js';
import {HostMemory} from '../../host/host_memory.js';
import type {GatewayMetrics} from '../gateway_metrics.js';

/** Creates the memory of a gateway, which reports to its metrics and log. */
export function createGatewayMemory(
  settings: GatewaySettings,
  clock: Clock,
  {memory: metrics}: GatewayMetrics,
  log: EventLog,
): HostMemory {
  const memory = new HostMemory(clock, new HostBounds(settings), {
    onEnded: (account, reason) => {
      const {kind, address, heldBytes, wantedBytes} = account;
      metrics.ended.inc({kind, reason});
      log.info('memory_short', {
        kind,
        reason,
        address,
        heldBytes,
        wantedBytes,
      });
    },
    onConnectionClosed: address => {
      metrics.closedConnections.inc();
      log.info('connection_closed', {address, reason: 'too many connections'});
    },
    onCollected: (freedMb, tookMs) => {
      metrics.collections.inc();
      log.info('garbage_collected', {freedMb, tookMs});
    },
  });
  metrics.watch(memory.budget);
  memory.watch();
  return memory;
}
