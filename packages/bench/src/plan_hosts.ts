import {randomBytes} from 'node:crypto';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {chooseFailureDomain} from './choose_failure_domain.js';
import {findFreePorts} from '@parsleywood/stand-ins';
import type {HostPlan} from './host_plan.js';
import {SiteNames} from './site_names.js';

const PORTS_PER_HOST = 3;
const PEER_KEY_BYTES = 32;

/** Writes the start settings of all hosts and the key they share. */
export async function planHosts(
  count: number,
  directory: string,
  platformUrl: string,
): Promise<HostPlan[]> {
  const peerKeyFile = join(directory, 'peer-key');
  const peerKey = randomBytes(PEER_KEY_BYTES).toString('hex');
  await writeFile(peerKeyFile, peerKey, {mode: 0o600});
  const ports = await findFreePorts(count * PORTS_PER_HOST);
  const addresses = ports.map(port => `127.0.0.1:${port}`);
  const plans: HostPlan[] = [];
  for (let index = 0; index < count; index++) {
    const host = `host-${index + 1}`;
    const settings = {
      host,
      site: SiteNames.SITE,
      region: SiteNames.REGION,
      failureDomain: chooseFailureDomain(index),
      callersAddress: addresses.pop() ?? '',
      operatorsAddress: addresses.pop() ?? '',
      peersAddress: addresses.pop() ?? '',
      platformUrl,
      peerKeyFile,
    };
    const file = join(directory, `${host}.json`);
    await writeFile(file, JSON.stringify(settings, null, 2));
    plans.push({settings, file});
  }
  return plans;
}
