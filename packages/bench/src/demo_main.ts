/** Starts a local site, shows each kind of request and stops it. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Demo} from './demo.js';
import {LocalSite} from './local_site.js';
import {SITE_DEFAULTS} from './site_defaults.js';

const logs = await mkdtemp(join(tmpdir(), 'parsleywood-demo-'));
const site = new LocalSite({...SITE_DEFAULTS, logs});
const print = (line: string) => process.stdout.write(`${line}\n`);
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.on(signal, () => void stop(1));
}
try {
  print('Starting 3 hosts, 4 engines, 1 service and a platform ...');
  const demo = new Demo(await site.start(), print);
  await demo.run();
  await demo.close();
  print('Every step was right. Stopping ...');
  await stop(0);
} catch (error) {
  print(`Failed: ${String(error)}`);
  print(`Logs of the processes: ${logs}`);
  await stop(1);
}

async function stop(exitCode: number): Promise<void> {
  await site.stop();
  if (exitCode === 0) await rm(logs, {recursive: true, force: true});
  process.exit(exitCode);
}
