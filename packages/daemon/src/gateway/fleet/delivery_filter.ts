import {DeliveryDelays} from '@parsleywood/membership';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import type {Delivery} from '@parsleywood/schema/peer';

/** Selects the messages of a delivery that still tell what is. */
export class DeliveryFilter {
  private readonly delays = new DeliveryDelays();

  /** Drops what a late delivery tells of live hosts, which may be dead by now. */
  select(
    {from, fromIncarnation, hybridTime, messages}: Delivery,
    nowMs: number,
  ): FleetMessage[] {
    const sentAtMs = hybridTime?.wallMs;
    const isLate = this.delays.isLate(from, fromIncarnation, sentAtMs, nowMs);
    return messages
      .flatMap(({body}) => (body?.$case === 'fleet' ? [body.value] : []))
      .filter(message => !isLate || !isSightingOfHosts(message));
  }
}

function isSightingOfHosts({body}: FleetMessage): boolean {
  return body?.$case === 'beat' || body?.$case === 'digest';
}
