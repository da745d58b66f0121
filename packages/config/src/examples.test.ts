import {createHash} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {GATEWAY_SETTINGS_SCHEMA} from '@parsleywood/schema/gateway_settings';
import {PUBLISHED_SITE_SCHEMA} from '@parsleywood/schema/published_site';
import type {Settings} from '@parsleywood/schema/settings';
import {
  checkHostList,
  checkSettings,
  checkUpstreamList,
  formatProblem,
  mergeSettings,
  readSettingsFile,
  readStartSettings,
  SchemaValidator,
} from './index.js';

const EXAMPLES = new URL('../../../examples/', import.meta.url);
const LONGEST_PROMPT_TOKENS = 1_000_000;

describe('example gateway', () => {
  it('matches the schemas of both files', () => {
    for (const [file, schema] of [
      ['gateway/host.json', GATEWAY_SETTINGS_SCHEMA],
      ['gateway/site.json', PUBLISHED_SITE_SCHEMA],
    ] as const) {
      const result = new SchemaValidator(schema).validate(read(file));
      expect(result.isErr && result.error.map(formatProblem)).to.equal(false);
    }
  });
});

for (const site of ['almond-mill', 'magnolia-hinge']) {
  describe(`example ${site}`, () => {
    it('has valid settings with the expected sizes', () => {
      const merged = mergeSettings(
        read('base.json'),
        read(`${site}/overlay.json`),
      );
      const settings = checkSettings(merged).unwrapOrElse(problems => {
        throw new Error(problems.map(formatProblem).join('; '));
      });
      expect(settings.site.name).to.equal(site);
      expect(settings.site.failureDomains).to.have.length(3);
      expect(Object.keys(settings.accounts)).to.have.length(10);
      const [model] = Object.values(settings.models);
      expect(model?.contextTokens).to.be.at.least(LONGEST_PROMPT_TOKENS);
      expect(model?.engineMemoryTokens).to.be.below(LONGEST_PROMPT_TOKENS / 2);
    });

    it('has valid lists that use exactly the failure domains of the site', () => {
      const hosts = checkHostList(read(`${site}/hosts.json`)).unwrapOr(null);
      const list = checkUpstreamList(read(`${site}/upstreams.json`));
      const upstreams = list.unwrapOr(null)?.upstreams ?? [];
      const kinds = upstreams.map(({kind}) => kind);
      expect(hosts?.hosts.length).to.be.within(6, 9);
      expect(kinds.filter(kind => kind === 'engine')).to.have.length(15);
      expect(kinds.filter(kind => kind === 'service')).to.have.length(3);
      const overlay = read(`${site}/overlay.json`) as Pick<Settings, 'site'>;
      const listed = [...(hosts?.hosts ?? []), ...upstreams];
      const domains = new Set(listed.map(({failureDomain}) => failureDomain));
      expect([...domains].sort()).to.eql(
        [...overlay.site.failureDomains].sort(),
      );
    });

    it('has valid start settings', () => {
      const path = fileURLToPath(new URL(`${site}/start.json`, EXAMPLES));
      const start = readStartSettings(path, {}).mapErr(({message}) => message);
      expect(start.mapOr('', ({logLevel}) => logLevel)).to.equal('info');
    });

    it('contains the hashes of the documented keys', () => {
      const readme = readFileSync(new URL('README.md', EXAMPLES), 'utf8');
      const rows = [...readme.matchAll(/^\| (\S+) +\| (\S+) +\| `(\S+)`/gm)];
      const documented = rows
        .filter(([, siteName]) => siteName === site)
        .map(([, , account, key]) => [account, hashKey(key ?? '')]);
      const overlay = read(`${site}/overlay.json`) as {
        accounts: Record<string, {keyHashes: string[]}>;
      };
      const accounts = Object.entries(overlay.accounts);
      expect(documented).to.eql(
        accounts.map(([account, {keyHashes}]) => [account, keyHashes[0]]),
      );
    });
  });
}

describe('readStartSettings', () => {
  const path = fileURLToPath(new URL('almond-mill/start.json', EXAMPLES));

  it('reports source, path, value and what is allowed in one line', () => {
    const flags = {callersAddress: 'gateway:80', logLevel: undefined};
    const message = readStartSettings(path, flags).match({
      Ok: () => '',
      Err: error => error.message,
    });
    expect(message).to.equal(
      'flags: /callersAddress is "gateway:80", ' +
        'allowed is an IP address and port, IP:port',
    );
  });

  it('reports missing and unknown settings and an unreadable file', () => {
    const lines = [
      readStartSettings(undefined, {}),
      readStartSettings('no-such-file.json', {}),
      readStartSettings(path, {hostname: 'h'}),
    ].map(result => result.match({Ok: () => '', Err: error => error.message}));
    expect(lines).to.eql([
      'flags: /host is missing, allowed is a value, which is required (and 7 more)',
      'no-such-file.json: the file cannot be read (ENOENT)',
      'flags: /hostname is "h", allowed is nothing (unknown setting)',
    ]);
  });
});

function read(path: string): unknown {
  const file = fileURLToPath(new URL(path, EXAMPLES));
  return readSettingsFile(file).unwrapOrElse(failure => {
    throw failure;
  });
}

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
