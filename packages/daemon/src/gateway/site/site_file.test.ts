import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {SiteFile} from './site_file.js';

const SITE = {routes: [], services: [], upstreams: []};

describe('SiteFile', () => {
  let folder: string;
  let path: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'parsleywood-site-'));
    path = join(folder, 'site.json');
  });

  afterEach(() => {
    rmSync(folder, {recursive: true});
  });

  function write(position: object): void {
    writeFileSync(path, JSON.stringify({...SITE, ...position}));
  }

  it('counts by version where the file has no revision', async () => {
    write({version: 4});
    const result = await new SiteFile(path).load();
    expect(result.isOk && result.value).to.include({epoch: 0, revision: 4});
  });

  for (const address of ['10.0.0.1:70000', '10.0.0.999:80', '10.0.0.010:80']) {
    it(`refuses a file with an upstream at ${address}`, async () => {
      const upstream = {id: 'u', service: 's', failureDomain: 'd', slots: 1};
      write({version: 4, upstreams: [{...upstream, address}]});
      const result = await new SiteFile(path).load();
      expect(result.isErr && result.error.detail).to.contain('"u"');
    });
  }

  it('refuses a file that is nested too deeply', async () => {
    const nested = '['.repeat(100_000) + ']'.repeat(100_000);
    for (const text of [nested, `{"version":1,"upstreams":${nested}}`]) {
      writeFileSync(path, text);
      const result = await new SiteFile(path).load();
      expect(result.isErr && result.error.detail).to.contain('nesting');
    }
  });

  it('tells of a later epoch although the revision went back', async () => {
    write({version: 4, epoch: 1, revision: 9});
    const file = new SiteFile(path);
    await file.load();
    write({version: 3, epoch: 2, revision: 5});
    const result = await file.watch(9, false);
    expect(result.isOk && result.value).to.include({epoch: 2, revision: 5});
  });

  it('returns from a probe without changes', async () => {
    write({version: 4, epoch: 1, revision: 9});
    const file = new SiteFile(path);
    await file.load();
    const startedMs = performance.now();
    const result = await file.watch(9, true);
    expect(result.isOk && result.value).to.include({epoch: 1, revision: 9});
    expect(performance.now() - startedMs).to.be.below(1_000);
  });
});
