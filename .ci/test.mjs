// Runs all built tests, lets pass only the failures that KNOWN-RED.txt lists,
// and prints those. An optional argument keeps the tests of one package.
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {basename, join} from 'node:path';
import Mocha from 'mocha';

const PACKAGES = 'packages';
const PLATFORM = 'platform';
const KNOWN_RED = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 60_000;

const chosen = process.argv[2];
const mocha = new Mocha({timeout: TEST_TIMEOUT_MS, reporter: 'dot'});
const folders = readdirSync(PACKAGES)
  .sort()
  .map(name => join(PACKAGES, name));
for (const folder of [...folders, PLATFORM]) {
  const dist = join(folder, 'dist');
  if (!existsSync(dist) || (chosen && chosen !== basename(folder))) continue;
  for (const file of readdirSync(dist, {recursive: true}).sort()) {
    const source = join(folder, 'src', file.replace(/\.js$/, '.ts'));
    if (file.endsWith('.test.js') && existsSync(source)) {
      mocha.addFile(join(dist, file));
    }
  }
}
await mocha.loadFilesAsync();

const knownRed = readKnownRed();
let passed = 0;
const red = [];
const failed = [];
const runner = mocha.run(() => {
  for (const title of red) console.log(`known red: ${title}`);
  for (const title of failed) console.log(`failed: ${title}`);
  console.log(`${passed} passed, ${failed.length} failed`);
  process.exit(failed.length === 0 && passed > 0 ? 0 : 1);
});
runner.on('pass', () => passed++);
runner.on('fail', test => {
  const title = test.fullTitle();
  (knownRed.has(title) ? red : failed).push(title);
});

/** Reads the titles of the tests known to fail: lines "test: TITLE". */
function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return new Set();
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  const mark = 'test: ';
  return new Set(
    lines
      .filter(line => line.startsWith(mark))
      .map(line => line.slice(mark.length).trim()),
  );
}
