import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

const PROGRAM = fileURLToPath(
  new URL('../../bin/parsleywood-gateway.js', import.meta.url),
);
const EXIT_WRONG_SETTINGS = 2;
const WAIT_MS = 5_000;
const INTERVAL_MS = 20;

/** Whether a process has a handler of SIGHUP, the first of the signals. */
function handlesHangup(pid: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
  return (BigInt(`0x${mask}`) & 1n) === 1n;
}

describe('parsleywood-gateway that starts', () => {
  const folder = mkdtempSync(join(tmpdir(), 'parsleywood-'));

  after(() => {
    rmSync(folder, {recursive: true});
  });

  // A signal that came before the settings were read ended the process.
  it('is not ended by a SIGHUP', async () => {
    const settings = join(folder, 'settings.json');
    execFileSync('mkfifo', [settings]);
    const flags = ['--settings', settings, '--site', 'site.json'];
    const gateway = spawn(process.execPath, [PROGRAM, ...flags], {
      stdio: 'ignore',
    });
    const {pid = 0} = gateway;
    const ended = once(gateway, 'exit');
    const untilMs = performance.now() + WAIT_MS;
    while (!handlesHangup(pid) && performance.now() < untilMs) {
      await pause(INTERVAL_MS);
    }
    gateway.kill('SIGHUP');
    // It reads its settings only now, and finds them wrong.
    if (handlesHangup(pid)) writeFileSync(settings, '{}');
    expect(await ended).to.deep.equal([EXIT_WRONG_SETTINGS, null]);
  });
});
