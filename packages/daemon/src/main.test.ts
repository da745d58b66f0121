import {spawnSync, type SpawnSyncReturns} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));
const SETTINGS = {
  host: 'host-1',
  site: 'site-1',
  failureDomain: 'domain-1',
  callersAddress: '127.0.0.1:1',
  operatorsAddress: '127.0.0.1:2',
  peersAddress: '127.0.0.1:3',
  platformUrl: 'http://127.0.0.1:4',
  peerKeyFile: 'none',
};

describe('parsleywoodd', () => {
  let directory: string;
  before(() => {
    directory = mkdtempSync(join(tmpdir(), 'parsleywood-'));
  });
  after(() => {
    rmSync(directory, {recursive: true});
  });

  it('exits with code 2 and one line on stderr for an invalid setting', () => {
    const file = write({...SETTINGS, callersAddress: 'localhost'});
    const {status, stderr, stdout} = run('--settings', file);
    expect({status, stdout}).to.eql({status: 2, stdout: ''});
    const [line = '', ...rest] = stderr.split('\n');
    expect(rest).to.eql(['']);
    for (const part of [file, '/callersAddress', '"localhost"', 'allowed']) {
      expect(line).to.contain(part);
    }
  });

  it('exits with code 2 for a malformed or missing settings file, a missing peer key file, or an unknown flag', () => {
    const broken = join(directory, 'broken.json');
    writeFileSync(broken, '{"host": ');
    const runs = [
      run('--settings', broken),
      run('--settings', join(directory, 'none.json')),
      run('--settings', write(SETTINGS)),
      run('--unknown', 'flag'),
    ];
    expect(runs.map(({status}) => status)).to.eql([2, 2, 2, 2]);
    const lines = runs.map(({stderr}) => stderr.trimEnd().split('\n').length);
    expect(lines).to.eql([1, 1, 1, 1]);
  });

  it('gives flags precedence over the settings file', () => {
    const {status, stderr} = run('--settings', write(SETTINGS), '--site', '?');
    expect(status).to.equal(2);
    expect(stderr).to.contain('flags: /site is "?"');
  });

  function write(settings: object): string {
    const file = join(directory, 'start.json');
    writeFileSync(file, JSON.stringify(settings));
    return file;
  }

  function run(...args: string[]): SpawnSyncReturns<string> {
    return spawnSync(process.execPath, [MAIN, ...args], {encoding: 'utf8'});
  }
});
