// Runs all built tests, lets pass only the failures that KNOWN-RED.txt lists,
// and prints those. An optional argument keeps the tests of one package. Each package
// has a process of its own, as tests measure the memory of theirs.
import {spawn} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {basename, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import Mocha from 'mocha';

const PACKAGES = 'packages';
const PLATFORM = 'platform';
const KNOWN_RED = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 60_000;

const SUMMARY = /^(\d+) passed, (\d+) failed$/;

const folders = [
  ...readdirSync(PACKAGES)
    .sort()
    .map(name => join(PACKAGES, name)),
  PLATFORM,
];
const chosen = process.argv[2];
if (chosen === undefined) await runAll();
else await runPackage(folders.find(folder => basename(folder) === chosen));

/** Runs the tests of each package, and adds up what they print last. */
async function runAll() {
  const lines = [];
  const sums = [0, 0];
  let hasFailed = false;
  for (const folder of folders) {
    if (listTests(folder).length === 0) continue;
    const {code, closing} = await runProcess(basename(folder));
    const [, passed = 0, failed = 0] = closing.at(-1)?.match(SUMMARY) ?? [];
    sums[0] += Number(passed);
    sums[1] += Number(failed);
    hasFailed ||= code !== 0;
    lines.push(...closing.slice(0, -1));
  }
  for (const line of lines) console.log(line);
  console.log(`${sums[0]} passed, ${sums[1]} failed`);
  process.exit(hasFailed || sums[0] === 0 ? 1 : 0);
}

/** Runs this script for one package; returns what it prints after its report. */
async function runProcess(name) {
  const args = [fileURLToPath(import.meta.url), name];
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  child.stdout.on('data', chunk => {
    output += chunk;
    process.stdout.write(chunk);
  });
  const code = await new Promise(resolve => child.on('close', resolve));
  const closing = output
    .trimEnd()
    .split('\n')
    .filter(line => /^(known red|failed): |^\d+ passed, /.test(line));
  return {code, closing};
}

function listTests(folder) {
  const dist = join(folder, 'dist');
  if (!existsSync(dist)) return [];
  return readdirSync(dist, {recursive: true})
    .sort()
    .filter(
      file =>
        file.endsWith('.test.js') &&
        existsSync(join(folder, 'src', file.replace(/\.js$/, '.ts'))),
    )
    .map(file => join(dist, file));
}

async function runPackage(folder) {
  const mocha = new Mocha({timeout: TEST_TIMEOUT_MS, reporter: 'dot'});
  for (const file of folder ? listTests(folder) : []) mocha.addFile(file);
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
}

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
