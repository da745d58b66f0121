import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {StartSettings} from '@parsleywood/schema/start_settings';

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));

/** Starts an entry host in a child process. Its key file is removed when the process exits. */
export function startDaemon(
  settings: StartSettings,
  peerKey: string,
): ChildProcess {
  const directory = mkdtempSync(join(tmpdir(), 'parsleywood-'));
  const peerKeyFile = join(directory, 'key');
  writeFileSync(peerKeyFile, peerKey);
  const flags = Object.entries({...settings, peerKeyFile}).flatMap(
    ([name, value]) => [`--${name}`, String(value)],
  );
  const child = spawn(process.execPath, [MAIN, ...flags], {stdio: 'inherit'});
  child.once('exit', () => {
    rmSync(directory, {recursive: true});
  });
  return child;
}
