import type {EvacuatedDomains} from '@parsleywood/forwarding';
import {Gauge, type Registry} from 'prom-client';

const MS_PER_SECOND = 1_000;
/** Most domains that get a series of their own. */
const MAX_DOMAINS = 64;

/** Metrics of the evacuations in force. */
export class EvacuationGauges {
  private readonly domains: Gauge;
  private readonly ages: Gauge;
  private readonly shares: Gauge;

  constructor(registry: Registry) {
    const registers = [registry];
    this.domains = new Gauge({
      name: 'parsleywood_evacuated_domains',
      help: 'Failure domains whose upstreams get nothing new.',
      registers,
    });
    this.ages = new Gauge({
      name: 'parsleywood_evacuation_age_seconds',
      help: 'Time since this host learned of an evacuation, by failure domain.',
      labelNames: ['failure_domain'],
      registers,
    });
    this.shares = new Gauge({
      name: 'parsleywood_evacuation_share',
      help: 'Share of new placements that may still go to an evacuated failure domain.',
      labelNames: ['failure_domain'],
      registers,
    });
  }

  /** Sets the metrics before they are read. */
  refresh(evacuations: EvacuatedDomains, nowMs: number): void {
    const inForce = evacuations.listInForce(nowMs);
    this.domains.set(inForce.length);
    this.ages.reset();
    this.shares.reset();
    for (const domain of inForce.slice(0, MAX_DOMAINS)) {
      const labels = {failure_domain: domain};
      this.ages.set(
        labels,
        evacuations.getAgeMs(domain, nowMs) / MS_PER_SECOND,
      );
      this.shares.set(labels, evacuations.getShare(domain, nowMs));
    }
  }
}
